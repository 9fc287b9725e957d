// One I/O shard of an entry node: its callers, its requests and its connections
// to the backend servers, all under one lock.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "gooseberryrock/entry/caller_request.h"
#include "gooseberryrock/entry/dialect.h"
#include "gooseberryrock/entry/server_change.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/service_pool.h"
#include "gooseberryrock/relay/weighted_choice.h"
#include "gooseberryrock/routes/route_table.h"
#include "gooseberryrock/transport/http_message.h"
#include "server_links.h"

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::transport {
class Exchange;
class IoThread;
struct Reply;
}  // namespace gooseberryrock::transport

namespace gooseberryrock::entry {

using RouteTablePtr = std::shared_ptr<const routes::RouteTable>;

struct ShardCounts {
  size_t requests_in_flight = 0;
  size_t servers_ready = 0;
};

class EntryShard {
 public:
  // `shards` is the number of shards that share the limits of the node.
  EntryShard(transport::IoThread& thread,
             const Dialect& dialect,
             const relay::RelayPolicy& policy,
             unsigned shards,
             telemetry::Metrics& metrics);
  EntryShard(const EntryShard&) = delete;
  EntryShard& operator=(const EntryShard&) = delete;
  ~EntryShard();

  // On the shard's thread.
  void Handle(std::shared_ptr<transport::Exchange> exchange);

  // From any thread.
  void PutRoutes(RouteTablePtr table);
  void PutServers(std::vector<ServerChange> changes);
  void PutPlan(ConnectionPlan plan);
  ShardCounts Count();

 private:
  // A request of a caller without an answer.
  struct Active;
  // An attempt at a server, also one that no request waits for any more.
  struct Flight;
  using ActiveNumber = uint64_t;
  // A request that came before the node knew where to send it.
  struct Parked {
    std::shared_ptr<transport::Exchange> exchange;
    // When it is refused.
    SteadyTime until;
  };

  relay::RelayContext Context() { return {policy_, random_}; }
  // Starts the request, keeps it for later, or refuses it.
  void Admit(std::shared_ptr<transport::Exchange> exchange);
  void Start(std::shared_ptr<transport::Exchange> exchange,
             CallerRequest caller,
             const routes::Route& route);
  // Whether the node has started so recently that routes or servers may only
  // not have been heard of yet.
  bool IsLearning(SteadyTime now) const;
  bool KnowsServers(const routes::Route& route);
  void Park(std::shared_ptr<transport::Exchange> exchange,
            const CallerRequest& caller);
  void RetryParked();
  std::vector<relay::ServicePool*> PoolsOf(const routes::Route& route);
  relay::ServicePool& PoolOf(const ServiceName& service);
  void Apply(ActiveNumber number, relay::RequestEffects effects);
  void Send(ActiveNumber number, const relay::AttemptToSend& attempt);
  void Drop(Active& active, const relay::AttemptToDrop& drop);
  void Transmit(AttemptKey key, const ConnectionPtr& connection);
  void OnReply(AttemptKey key, transport::Reply reply);
  void OnWholeReply(AttemptKey key, transport::Reply reply);
  void OnLost(AttemptKey key, relay::AttemptResult result);
  void OnNoConnection(AttemptKey key);
  void OnGone(ActiveNumber number);
  // Removes the flight and its share in the server's stats.
  Flight End(AttemptKey key);
  void Finish(ActiveNumber number, relay::Outcome outcome);
  void SetTimer(Active& active, std::optional<SteadyTime> at);
  void ArmTimer();
  void OnTimer();
  void Sweep();
  void PutServer(const ServerChange& change);
  // Divides the connection limit of `server` by the plan.
  void ApplyShare(relay::PoolServer& server);
  void ApplyShares(relay::ServicePool& pool);
  void ApplyAllShares();

  transport::IoThread& thread_;
  const Dialect& dialect_;
  const relay::RelayPolicy policy_;
  const unsigned shards_;
  telemetry::Metrics& metrics_;

  std::mutex mutex_;
  // Everything below is guarded by `mutex_`.
  std::mt19937_64 random_;
  RouteTablePtr table_;
  // Never shrinks, so that requests may point into it.
  relay::PoolMap pools_;
  std::map<BackendServerId, directory::ServerRecord> records_;
  ConnectionPlan plan_;
  std::map<std::string, relay::WeightedCredits> credits_;
  ServerLinks links_;
  std::unordered_map<ActiveNumber, std::unique_ptr<Active>> active_;
  std::unordered_map<AttemptKey, Flight> flights_;
  // Requests that wait for routes or servers, with the time of their refusal.
  std::vector<Parked> parked_;
  const SteadyTime started_;
  ActiveNumber next_active_ = 1;
  AttemptKey next_flight_ = 1;
  std::multimap<SteadyTime, ActiveNumber> timers_;
  boost::asio::steady_timer timer_;
  std::optional<SteadyTime> armed_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_
