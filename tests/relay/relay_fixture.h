// Pools and routes for the tests of the relay decisions.

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

// A time well after the start of the clock.
constexpr SteadyTime kStart = SteadyTime(std::chrono::hours(1));

// A pool with `n` servers named <service>-0, ...; the first one is in the own
// failure domain. Each has an idle connection.
ServicePool PoolOf(const std::string& service, size_t n);

routes::Route SingleRoute(bool idempotent);
// Of ten shards at least nine are needed; the two greatest records count.
routes::Route ShardedRoute();

ServerReply Success(const std::string& digest, const std::string& body);
ServerReply ReplyOf(ReplyKind kind);

// One request and what it needs.
struct RelayFixture {
  explicit RelayFixture(size_t shards, size_t servers = 3);

  RelayContext Context() { return {policy, random}; }
  RequestEffects Start(const routes::Route& it, SteadyTime now = kStart);
  // Sends all attempts of `effects` at `now`.
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
