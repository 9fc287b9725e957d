// Fixtures for the tests of the relay library.

#ifndef GOOSEBERRYROCK_TESTS_RELAY_RELAY_FIXTURE_H_
#define GOOSEBERRYROCK_TESTS_RELAY_RELAY_FIXTURE_H_

#include <random>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/server_reply.h"
#include "gooseberryrock/relay/service_pool.h"

namespace gooseberryrock::relay {

constexpr Duration Ms(int64_t n) {
  return std::chrono::milliseconds(n);
}

// An arbitrary time well after the epoch of the clock.
constexpr SteadyTime kStart = SteadyTime(std::chrono::hours(1));

// A pool with `n` servers named <service>-0 and so on. The first one is in the
// failure domain of the node. Each has an idle connection.
ServicePool PoolOf(const std::string& service, size_t n);

routes::Route SingleRoute(bool idempotent);
// Requires nine of ten shards and returns the two greatest records.
routes::Route ShardedRoute();

ServerReply Success(const std::string& digest, const std::string& body);
ServerReply ReplyOf(ReplyKind kind);

// A request and its environment.
struct RelayFixture {
  explicit RelayFixture(size_t shards, size_t servers = 3);

  RelayContext Context() { return {policy, random}; }
  RequestEffects Start(const routes::Route& it, SteadyTime now = kStart);
  // Marks all attempts of `effects` as sent at `now`.
  void Send(const RequestEffects& effects, SteadyTime now = kStart);
  RequestEffects Reply(AttemptNumber attempt,
                       ServerReply reply,
                       SteadyTime now = kStart + Ms(10));

  RelayPolicy policy;
  std::mt19937_64 random{1};
  std::vector<ServicePool> pools;
  routes::Route route;
  RequestState state;
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_TESTS_RELAY_RELAY_FIXTURE_H_
