// An I/O shard of an entry node: its callers, requests and connections to
// backend servers, guarded by one lock.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "connection_pool.h"
#include "gooseberryrock/claims/crash_history.h"
#include "gooseberryrock/entry/caller_request.h"
#include "gooseberryrock/entry/entry_codec.h"
#include "gooseberryrock/entry/server_change.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/service_pool.h"
#include "gooseberryrock/relay/weighted_choice.h"
#include "gooseberryrock/routes/evacuation.h"
#include "gooseberryrock/routes/route_confirmation.h"
#include "gooseberryrock/routes/route_table.h"
#include "gooseberryrock/transport/http_message.h"
#include "server_notice.h"

namespace gooseberryrock::allotments {
class SharedNodeAllotments;
}  // namespace gooseberryrock::allotments

namespace gooseberryrock::claims {
class SharedCrashHistory;
}  // namespace gooseberryrock::claims

namespace gooseberryrock::organisations {
struct Organisation;
}  // namespace gooseberryrock::organisations

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::transport {
class Exchange;
class IoThread;
class ReplyMemory;
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
  // Entry nodes that gather for others; 0 if each gathers for itself.
  size_t gather_nodes = 0;
};

// How requests are passed on to gathering nodes.
struct GatherOptions {
  // Port of gathering nodes; 0 if there are none.
  uint16_t port = 0;
  // Time after which new routes are followed while some nodes gather for all.
  Duration route_adoption_delay = Duration::zero();
};

// What a shard uses of its node.
struct EntryShardDependencies {
  // Passes a notice on to the other I/O shards.
  std::function<void(const ServerNotice&)> on_notice;
  claims::SharedCrashHistory& crash_history;
  allotments::SharedNodeAllotments& allotments;
  // Of the shard's thread.
  transport::ReplyMemory& reply_memory;
  telemetry::Metrics& metrics;
  // Of the I/O shards of the node.
  unsigned shard_index = 0;
};

class EntryShard {
 public:
  // `shards` is the number of I/O shards that divide the limits of the node.
  EntryShard(transport::IoThread& thread,
             const EntryCodec& codec,
             const relay::RelayPolicy& policy,
             unsigned shards,
             const GatherOptions& gather,
             Duration route_confirmation_lifetime,
             EntryShardDependencies deps);
  EntryShard(const EntryShard&) = delete;
  EntryShard& operator=(const EntryShard&) = delete;
  ~EntryShard();

  // Called on the shard's thread.
  void Handle(std::shared_ptr<transport::Exchange> exchange);
  // Gathers a request that another entry node passed on. Called on the shard's
  // thread.
  void HandleForwarded(std::shared_ptr<transport::Exchange> exchange);

  // Thread-safe.
  void SetRoutes(RouteTablePtr table);
  void SetConfirmation(const routes::RouteConfirmation& confirmation);
  void UpdateServers(std::vector<ServerChange> changes);
  void SetConnectionPlan(ConnectionPlan plan);
  // Whether control VMs have replied recently.
  void SetContact(bool in_contact);
  // `is_unconfirmed` while newer orders may exist that no control VM could
  // report yet.
  void SetEvacuation(const routes::EvacuatedDomains& evacuated,
                     bool is_unconfirmed);
  // Handles a notice that another I/O shard received.
  void OnNotice(const ServerNotice& notice);
  // Answers all requests by `answer_by`, and refuses those that are unlikely to
  // be answered until then and those that another node can gather.
  void StartDraining(SteadyTime answer_by);
  ShardCounts Count();

 private:
  // A request that was not answered yet.
  struct ActiveRequest;
  // An attempt at a server, including one whose reply is no longer needed.
  struct InFlightAttempt;
  // A request that was running on a server whose connection was lost.
  struct LostRun {
    claims::Fingerprint fingerprint = 0;
    claims::CrashId crash = 0;
    std::string request_id;
  };
  struct LostRuns {
    uint64_t incarnation = 0;
    SteadyTime lost_at;
    // The server's process runs, or is a new one that has not announced itself.
    bool has_process = false;
    std::vector<LostRun> runs;
  };
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
  // Answers a request whose caller may not use the route, or not before the
  // routes are confirmed.
  void Deny(transport::Exchange& exchange,
            const CallerRequest& caller,
            const routes::Route& route,
            bool is_confirmed);
  // Sends the request, or each part of it, to at most `attempts` servers.
  // `organisation` is that of the caller, or null.
  void Start(std::shared_ptr<transport::Exchange> exchange,
             CallerRequest caller,
             const routes::Route& route,
             const organisations::Organisation* organisation,
             uint32_t attempts);
  // Creates the request, without its state.
  ActiveRequest& AddRequest(std::shared_ptr<transport::Exchange> exchange,
                            CallerRequest caller,
                            RouteTablePtr table,
                            const routes::Route& route,
                            const organisations::Organisation* organisation);
  // Sends the request to the servers, each part to at most `attempts` of them,
  // or refuses it.
  void Run(ActiveRequest& active, SteadyTime received, uint32_t attempts);
  // Passes the request on to gathering nodes. Returns false if there are none.
  bool PassOn(ActiveRequest& active, SteadyTime received);
  // No gathering node took the request: gathers it here.
  void GatherHere(ActiveRequest& active);
  bool IsForward(const InFlightAttempt& attempt) const;
  // Returns the routes of that version; null if they are not or no longer
  // known.
  RouteTablePtr FindTable(uint64_t version) const;
  void ForgetEarlierTables(SteadyTime now);
  void FollowComingTables(SteadyTime now);
  // Whether the process was suspended: requests in its sockets may have been
  // given up by their senders.
  bool WasSuspended(SteadyTime now) const;
  void OnInterim(AttemptKey key, const transport::Response& header);
  // The shards of the route and the nodes that can gather them.
  std::vector<relay::ShardGroup> GroupsOf(const routes::Route& route);
  // Records whether the gathering node of an attempt replied.
  void RecordGatherResult(const BackendServerId& node, bool replied);
  // Recomputes which nodes gather.
  void UpdateGatherNodes();
  relay::GatherInputs CurrentGatherInputs() const;
  void UpdateGatherPool();
  // Whether the connections of the service's servers belong to the gathering
  // nodes.
  bool IsGathered(const ServiceName& service) const;
  // Whether the node started so recently that it may not have received all
  // routes and servers.
  bool IsDiscovering(SteadyTime now) const;
  // Whether the node must not send requests yet because it may not know which
  // failure domains are evacuated.
  bool AwaitsEvacuation(SteadyTime now) const;
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
  // `cause` is for the log.
  void OnLost(AttemptKey key,
              relay::AttemptResult result,
              const std::string& cause);
  // Accounts for the replies that the request keeps until it ends.
  void HoldReplies(ActiveRequest& active);
  // Ends a request whose replies take too much memory.
  void GiveUpReplies(RequestNumber number);
  void OnNoConnection(AttemptKey key);

  // Requests that crash servers; see claims/crash_history.h.
  // Returns how the request may run, and logs a refusal.
  claims::CrashDecision CheckCrashes(const transport::Request& request,
                                     const CallerRequest& caller,
                                     const routes::Route& route,
                                     SteadyTime now);
  // The connection of the attempt was lost before its reply. If the server's
  // process has ended, the request may be the cause.
  void RecordLostRun(const InFlightAttempt& attempt, SteadyTime now);
  void OnConnectFailed(const BackendServerId& server, SteadyTime now);
  void OnServerReplied(const BackendServerId& server);
  // The process has ended that the lost runs were running on.
  void ConfirmCrash(const BackendServerId& server, SteadyTime now);
  // A server answered the request.
  void RecordAnswer(const ActiveRequest& active, SteadyTime now);
  // Finds out whether the processes run that the lost runs were running on.
  void MaintainLostRuns(SteadyTime now);
  void HandleCallerDisconnect(RequestNumber number);
  // Removes the attempt and updates the server's statistics.
  InFlightAttempt RemoveAttempt(AttemptKey key);
  void Finish(RequestNumber number, relay::Outcome outcome);
  void SetTimer(ActiveRequest& active, std::optional<SteadyTime> at);
  void ArmTimer();
  void OnTimer();
  void RunMaintenance();
  void MaintainPool(relay::ServicePool& pool, SteadyTime now);
  void UpdateServer(const ServerChange& change);
  // Attempts that wait for a connection to a server of an evacuated failure
  // domain go elsewhere.
  void CancelEvacuatedWaits();
  bool EvacuationLeavesCoverage(const routes::Route& route);
  uint32_t ConnectionLimitOf(const ServiceName& service) const;
  // Sets this shard's share of the connection limit and of the request limit of
  // `server`.
  void ApplyShare(relay::PoolServer& server);
  // The same for a server of a shard while some nodes gather for all.
  void ApplyGatherShare(relay::PoolServer& server,
                        const directory::ServerRecord& record,
                        SteadyTime now);
  // The same for the requests to a cold server.
  void ApplyColdShare(relay::PoolServer& server,
                      const directory::ServerRecord& record,
                      SteadyTime now);
  double ColdRateOf(const ServiceName& service) const;
  // Returns this shard's part of `burst` requests to the server at once.
  uint32_t ColdBurstOf(const directory::ServerRecord& record,
                       uint32_t burst) const;
  void ApplyShares(relay::ServicePool& pool);
  void ApplyAllShares();

  transport::IoThread& thread_;
  const EntryCodec& codec_;
  const relay::RelayPolicy policy_;
  const unsigned shards_;
  const unsigned shard_index_;
  const std::function<void(const ServerNotice&)> on_notice_;
  claims::SharedCrashHistory& crash_history_;
  allotments::SharedNodeAllotments& allotments_;
  transport::ReplyMemory& reply_memory_;
  telemetry::Metrics& metrics_;

  std::mutex mutex_;
  // Everything below is guarded by `mutex_`.
  std::mt19937_64 random_;
  RouteTablePtr table_;
  // Of `table_`.
  routes::FollowedRoutes followed_routes_;
  const Duration route_confirmation_lifetime_;
  // Routes that are known but not followed yet, with the time from which they
  // are. Newest last.
  std::deque<std::pair<RouteTablePtr, SteadyTime>> coming_tables_;
  // Recent earlier routes, newest last, with the time at which they were
  // replaced.
  std::deque<std::pair<RouteTablePtr, SteadyTime>> earlier_tables_;
  // Services that a route relays requests to.
  std::set<ServiceName> relayed_services_;
  // Pools are never removed, because requests point to them.
  relay::PoolMap pools_;
  std::map<BackendServerId, directory::ServerRecord> records_;
  ConnectionPlan plan_;
  routes::EvacuatedDomains evacuated_;
  bool evacuation_unconfirmed_ = false;
  bool in_contact_ = true;
  relay::GatherInputs gather_inputs_;
  relay::NodesByDomain gather_nodes_;
  // When requests to gathering nodes of a failure domain last failed without a
  // reply from the domain since then.
  std::map<FailureDomain, SteadyTime> gather_failures_;
  // Whether this node is one of them.
  bool gathers_ = false;
  // How the gathering nodes divide the connections of the servers of shards.
  ConnectionPlan gather_plan_;
  // The gathering nodes.
  relay::ServicePool gather_pool_;
  std::map<std::string, relay::WeightedCredits> credits_;
  ConnectionPool connections_;
  std::unordered_map<RequestNumber, std::unique_ptr<ActiveRequest>> active_;
  std::unordered_map<AttemptKey, InFlightAttempt> in_flight_;
  std::map<BackendServerId, LostRuns> lost_runs_;
  // Requests that wait for routes or servers.
  std::vector<ParkedRequest> parked_;
  const SteadyTime started_;
  const GatherOptions gather_;
  // Set when the node stops.
  std::optional<SteadyTime> answer_by_;
  SteadyTime last_maintenance_;
  // Until then, requests may come from before a suspension of the process.
  SteadyTime suspect_requests_until_;
  RequestNumber next_request_ = 1;
  AttemptKey next_attempt_key_ = 1;
  std::multimap<SteadyTime, RequestNumber> timers_;
  boost::asio::steady_timer timer_;
  std::optional<SteadyTime> armed_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_H_
