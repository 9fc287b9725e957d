// Tests the queue of attempts that wait for a connection to a server.

#include "connection_pool.h"

#include <gtest/gtest.h>

#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gooseberryrock/relay/pool_server.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/service_pool.h"
#include "gooseberryrock/transport/reply_memory.h"

namespace gooseberryrock::entry {
namespace {

class ConnectionPoolTest : public testing::Test {
 protected:
  ConnectionPoolTest() {
    relay::PoolServer& server = pool_.servers.emplace_back();
    server.id = {"s"};
    server.host = "127.0.0.1";
    // No connection is opened, so that attempts wait.
    server.connection_share = 0;
  }

  void Wait(AttemptKey key) {
    connections_.Acquire(pool_, pool_.servers[0], Rank::kNormal, key);
  }

  boost::asio::io_context context_;
  transport::ReplyMemory memory_{1000};
  relay::ServicePool pool_ = relay::MakePool({"s"}, relay::RelayPolicy());
  std::vector<AttemptKey> failed_;
  std::function<void(AttemptKey)> on_failed_ = [](AttemptKey) {};
  ConnectionPool connections_{
      context_,
      memory_,
      {[](const std::function<void()>& it) { it(); },
       [](AttemptKey, const ConnectionPtr&) {},
       [this](AttemptKey key) {
         failed_.push_back(key);
         on_failed_(key);
       },
       [](relay::ServicePool&, const BackendServerId&) {}}};
};

// Guards against a crash when the failure of one part of a request ends the
// request, whose other parts wait for a connection to the same server: the
// node reported the failure of an attempt that no longer existed.
TEST_F(ConnectionPoolTest, CancelledAttemptDoesNotFail) {
  for (AttemptKey key : {1, 2, 3}) {
    Wait(key);
  }
  EXPECT_EQ(pool_.servers[0].queued, 3U);
  on_failed_ = [this](AttemptKey key) {
    if (key == 1) {
      connections_.CancelWait(pool_, {"s"}, 2);
    }
  };
  connections_.CancelAllWaits(pool_.servers[0]);
  EXPECT_EQ(failed_, (std::vector<AttemptKey>{1, 3}));
  EXPECT_EQ(pool_.servers[0].queued, 0U);
}

// Guards against failing an attempt at once that starts to wait while others
// fail, and against failing one twice when the server fails again meanwhile.
TEST_F(ConnectionPoolTest, FailureWithinFailure) {
  for (AttemptKey key : {1, 2}) {
    Wait(key);
  }
  on_failed_ = [this](AttemptKey key) {
    if (key == 1) {
      connections_.CancelAllWaits(pool_.servers[0]);
      Wait(4);
    }
  };
  connections_.CancelAllWaits(pool_.servers[0]);
  EXPECT_EQ(failed_, (std::vector<AttemptKey>{1, 2}));
  EXPECT_EQ(pool_.servers[0].queued, 1U);
  connections_.CancelWait(pool_, {"s"}, 4);
  EXPECT_EQ(pool_.servers[0].queued, 0U);
}

}  // namespace
}  // namespace gooseberryrock::entry
