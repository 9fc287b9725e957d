// Fixtures for the tests of the relay library.

#include "relay_fixture.h"

#include <utility>

namespace gooseberryrock::relay {

ServicePool PoolOf(const std::string& service, size_t n) {
  ServicePool pool = MakePool({service}, RelayPolicy());
  for (size_t i = 0; i < n; ++i) {
    PoolServer& server = pool.servers.emplace_back();
    server.id = {service + "-" + std::to_string(i)};
    server.same_domain = i == 0;
    server.slots = 2;
    server.connection_share = 4;
    server.connections = 1;
    server.idle_connections = 1;
  }
  return pool;
}

routes::Route SingleRoute(bool idempotent) {
  routes::Route route;
  route.name = "single";
  route.idempotent = idempotent;
  route.attempts = 2;
  route.timeout = Ms(5000);
  route.target_latency = Ms(1000);
  route.target = routes::SingleTarget{{"s0"}};
  return route;
}

routes::Route ShardedRoute() {
  routes::Route route;
  route.name = "sharded";
  route.idempotent = true;
  route.attempts = 2;
  route.timeout = Ms(1000);
  route.target_latency = Ms(100);
  routes::ShardedTarget target;
  target.top_records = 2;
  target.minimum_coverage = 0.89;
  route.target = target;
  return route;
}

ServerReply Success(const std::string& digest, const std::string& body) {
  ServerReply reply;
  reply.kind = ReplyKind::kSuccess;
  reply.digest = digest;
  reply.body = body;
  return reply;
}

ServerReply ReplyOf(ReplyKind kind) {
  ServerReply reply;
  reply.kind = kind;
  return reply;
}

RelayFixture::RelayFixture(size_t shards, size_t servers) {
  for (size_t i = 0; i < shards; ++i) {
    pools.push_back(PoolOf("s" + std::to_string(i), servers));
  }
}

RequestEffects RelayFixture::Start(const routes::Route& it, SteadyTime now) {
  route = it;
  std::vector<ServicePool*> used;
  for (ServicePool& pool : pools) {
    used.push_back(&pool);
  }
  state = MakeRequest(route, used, policy, now, now + route.timeout);
  return StartRequest(state, Context(), now);
}

void RelayFixture::Send(const RequestEffects& effects, SteadyTime now) {
  for (const AttemptToSend& it : effects.send) {
    OnAttemptSent(state, it.number, Context(), now);
  }
}

RequestEffects RelayFixture::Reply(AttemptNumber attempt,
                                   ServerReply reply,
                                   SteadyTime now) {
  return OnAttemptReply(state, attempt, std::move(reply), Context(), now);
}

}  // namespace gooseberryrock::relay
