// An I/O shard of an entry node: its callers, requests and connections to
// backend servers, guarded by one lock.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "connection_pool.h"
#include "gooseberryrock/entry/caller_request.h"
#include "gooseberryrock/entry/entry_codec.h"
#include "gooseberryrock/entry/server_change.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/service_pool.h"
#include "gooseberryrock/relay/weighted_choice.h"
#include "gooseberryrock/routes/route_table.h"
#include "gooseberryrock/transport/http_message.h"
#include "server_notice.h"

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
  size_t servers_limited = 0;
  size_t servers_resting = 0;
  size_t servers_leaving = 0;
};

class EntryShard {
 public:
  // Passes a notice on to the other I/O shards.
  using NoticeHandler = std::function<void(const ServerNotice&)>;

  // `shards` is the number of I/O shards that divide the limits of the node.
  EntryShard(transport::IoThread& thread,
             const EntryCodec& codec,
             const relay::RelayPolicy& policy,
             unsigned shards,
             NoticeHandler on_notice,
             telemetry::Metrics& metrics);
  EntryShard(const EntryShard&) = delete;
  EntryShard& operator=(const EntryShard&) = delete;
  ~EntryShard();

  // Called on the shard's thread.
  void Handle(std::shared_ptr<transport::Exchange> exchange);

  // Thread-safe.
  void SetRoutes(RouteTablePtr table);
  void UpdateServers(std::vector<ServerChange> changes);
  void SetConnectionPlan(ConnectionPlan plan);
  // Handles a notice that another I/O shard received.
  void OnNotice(const ServerNotice& notice);
  ShardCounts Count();

 private:
  // A request that was not answered yet.
  struct ActiveRequest;
  // An attempt at a server, including one whose reply is no longer needed.
  struct InFlightAttempt;
  using RequestNumber = uint64_t;
  // A request that waits for the node to learn the routes or servers.
  struct ParkedRequest {
    std::shared_ptr<transport::Exchange> exchange;
    // End of the time for which the request may be parked.
    SteadyTime until;
  };

  relay::RelayContext Context() { return {policy_, random_}; }
  // Starts, parks or refuses the request.
  void Admit(std::shared_ptr<transport::Exchange> exchange);
  void Start(std::shared_ptr<transport::Exchange> exchange,
             CallerRequest caller,
             const routes::Route& route);
  // Whether the node started so recently that it may not have received all
  // routes and servers.
  bool IsDiscovering(SteadyTime now) const;
  bool KnowsServers(const routes::Route& route);
  void ParkRequest(std::shared_ptr<transport::Exchange> exchange,
                   const CallerRequest& caller);
  void RetryParked();
  std::vector<relay::ServicePool*> PoolsOf(const routes::Route& route);
  relay::ServicePool& PoolOf(const ServiceName& service);
  void ApplyEffects(RequestNumber number, relay::RequestEffects effects);
  void Send(RequestNumber number, const relay::AttemptToSend& attempt);
  void Drop(ActiveRequest& active, const relay::AttemptToDrop& drop);
  void Transmit(AttemptKey key, const ConnectionPtr& connection);
  void OnReply(AttemptKey key, transport::Reply reply);
  void OnMatchingReply(AttemptKey key, transport::Reply reply);
  // Records what a reply says about the server itself.
  void RecordStatements(relay::ServicePool& pool,
                        relay::PoolServer& server,
                        const relay::ServerReply& reply,
                        SteadyTime sent_at,
                        SteadyTime now);
  void RecordLimit(relay::PoolServer& server,
                   std::optional<double> per_second,
                   SteadyTime sent_at,
                   SteadyTime now);
  void ApplyNotice(relay::ServicePool& pool,
                   relay::PoolServer& server,
                   const ServerNotice& notice,
                   SteadyTime now);
  void OnLost(AttemptKey key, relay::AttemptResult result);
  void OnNoConnection(AttemptKey key);
  void HandleCallerDisconnect(RequestNumber number);
  // Removes the attempt and updates the server's statistics.
  InFlightAttempt RemoveAttempt(AttemptKey key);
  void Finish(RequestNumber number, relay::Outcome outcome);
  void SetTimer(ActiveRequest& active, std::optional<SteadyTime> at);
  void ArmTimer();
  void OnTimer();
  void RunMaintenance();
  void UpdateServer(const ServerChange& change);
  uint32_t ConnectionLimitOf(const ServiceName& service) const;
  // Sets this shard's share of the connection limit and of the request limit of
  // `server`.
  void ApplyShare(relay::PoolServer& server);
  void ApplyShares(relay::ServicePool& pool);
  void ApplyAllShares();

  transport::IoThread& thread_;
  const EntryCodec& codec_;
  const relay::RelayPolicy policy_;
  const unsigned shards_;
  const NoticeHandler on_notice_;
  telemetry::Metrics& metrics_;

  std::mutex mutex_;
  // Everything below is guarded by `mutex_`.
  std::mt19937_64 random_;
  RouteTablePtr table_;
  // Pools are never removed, because requests point to them.
  relay::PoolMap pools_;
  std::map<BackendServerId, directory::ServerRecord> records_;
  ConnectionPlan plan_;
  std::map<std::string, relay::WeightedCredits> credits_;
  ConnectionPool connections_;
  std::unordered_map<RequestNumber, std::unique_ptr<ActiveRequest>> active_;
  std::unordered_map<AttemptKey, InFlightAttempt> in_flight_;
  // Requests that wait for routes or servers.
  std::vector<ParkedRequest> parked_;
  const SteadyTime started_;
  RequestNumber next_request_ = 1;
  AttemptKey next_attempt_key_ = 1;
  std::multimap<SteadyTime, RequestNumber> timers_;
  boost::asio::steady_timer timer_;
  std::optional<SteadyTime> armed_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_
