// Test server in place of a node that returns fixed replies to gbrctl.

#ifndef GOOSEBERRYROCK_TESTS_CTL_STANDIN_NODE_H_
#define GOOSEBERRYROCK_TESTS_CTL_STANDIN_NODE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gooseberryrock/http/http_server.h"

namespace gooseberryrock::ctl {

class StandinNode {
 public:
  // `scenario` is the name of the transcript and selects the replies. An
  // unknown scenario selects those of a healthy node.
  explicit StandinNode(std::string scenario);

  uint16_t port() const { return port_; }

  // Returns the bodies of the received commands and membership changes, in
  // order of arrival.
  std::vector<std::string> ReceivedChanges();

 private:
  http::HttpReply Handle(const http::HttpRequest& request);
  http::HttpReply HandleChange(const http::HttpRequest& request);
  http::HttpReply HandleQuery(const http::HttpRequest& request);

  const std::string scenario_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::vector<std::string> changes_;
  uint16_t port_ = 0;
  std::unique_ptr<http::HttpServer> server_;
};

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_TESTS_CTL_STANDIN_NODE_H_
