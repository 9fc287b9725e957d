// Calls servers through connections of the transport library.

#include "server_caller.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <utility>

#include "gooseberryrock/transport/endpoint.h"

namespace gooseberryrock::transport {

namespace {

constexpr Duration kConnectTime = std::chrono::seconds(1);
constexpr Duration kReplyTime = std::chrono::seconds(3);

}  // namespace

ServerCaller::~ServerCaller() {
  thread_.Stop();
}

Reply ServerCaller::Call(uint16_t port, size_t max_body) {
  {
    std::lock_guard lock(mutex_);
    interim_fields_.clear();
  }
  auto promise = std::make_shared<std::promise<Reply>>();
  auto future = promise->get_future();
  thread_.Post([this, port, max_body, promise] {
    connection_ = std::make_shared<ServerConnection>(thread_.context());
    connection_->Connect(
        {"127.0.0.1", port}, kConnectTime,
        [this, max_body, promise](bool connected) {
          ASSERT_TRUE(connected);
          connection_->Send(
              Request(boost::beast::http::verb::get, "/", 11), max_body,
              [promise](Reply it) { promise->set_value(std::move(it)); },
              [this](const Response& header) {
                std::lock_guard lock(mutex_);
                interim_fields_.push_back(header["X"].to_string());
              });
        });
  });
  EXPECT_EQ(future.wait_for(kReplyTime), std::future_status::ready);
  return future.get();
}

std::vector<std::string> ServerCaller::interim_fields() const {
  std::lock_guard lock(mutex_);
  return interim_fields_;
}

void ServerCaller::Close() {
  thread_.Post([this] { connection_->Close(); });
}

}  // namespace gooseberryrock::transport
