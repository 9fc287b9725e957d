// Runs queries: routes and sends their attempts and brings the results back.

#ifndef GOOSEBERRYROCK_NODE_QUERY_ENGINE_H_
#define GOOSEBERRYROCK_NODE_QUERY_ENGINE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/http/backend_channel.h"
#include "gooseberryrock/node/query_shard.h"
#include "gooseberryrock/node/server_table.h"
#include "gooseberryrock/node/service_gate.h"
#include "gooseberryrock/query/query_plan.h"

namespace gooseberryrock::directory {
struct ServerRecord;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::node {

class CrashGuard;
class ServiceViews;

struct QueryEngineOptions {
  FailureDomain failure_domain;
  size_t query_shards = 4;
  size_t io_shards = 4;
  // Larger than any attempt id of an earlier incarnation of this node.
  query::AttemptId first_attempt = 1;
};

class QueryEngine {
 public:
  // Attempt ids from here on are those of probes.
  static constexpr query::AttemptId kFirstProbe = query::AttemptId{1} << 63;

  using AttemptOutcome =
      std::variant<query::SubqueryReply, query::AttemptFailure>;

  QueryEngine(const QueryEngineOptions& options,
              const ServiceViews& views,
              CrashGuard& crash_guard,
              telemetry::Metrics& metrics);
  QueryEngine(const QueryEngine&) = delete;
  QueryEngine& operator=(const QueryEngine&) = delete;
  // No query may be running.
  ~QueryEngine();

  // Runs the request and waits for its answer, which comes by the deadline.
  query::Answer Execute(const query::QueryRequest& request);

  // Tells the engine of a changed record. `connections` is this node's share of
  // the server's connection limit.
  void OnServerChanged(const directory::ServerRecord& record,
                       uint32_t connections);

 private:
  // An attempt whose connection was lost, until it is known whether its server
  // crashed.
  struct LostAttempt {
    query::AttemptId attempt = 0;
    uint64_t fingerprint = 0;
    // Other attempts of this node were running on the server.
    bool shared = false;
  };

  void CarryOut(size_t shard, const QueryShard::Work& work);
  void Send(size_t shard,
            const QueryShard::Work& work,
            const query::AttemptToSend& attempt);
  void FindNewerSnapshot(size_t shard, const QueryShard::Work& work);
  // The gate of the service, up to date with `view`.
  ServiceGate& EnterableGate(const std::shared_ptr<const ServiceView>& view);
  ServiceGate& GateOf(const ServiceName& service);
  uint32_t SlotsOfScarcestShard(const ServiceView& view) const;
  // Runs an admitted request over the shards of `plan`.
  query::Answer RunPlan(const query::QueryRequest& request,
                        const std::shared_ptr<const ServiceView>& view,
                        query::QueryPlan plan,
                        std::optional<uint32_t> max_attempts = std::nullopt);
  // Runs a request that is suspected of crashing servers: one attempt on one
  // shard, and the rest only when it has succeeded.
  query::Answer RunAlone(const query::QueryRequest& request,
                         const std::shared_ptr<const ServiceView>& view,
                         const query::QueryPlan& plan);
  void OnResult(const http::BackendResult& result);
  // Asks the server of a lost attempt for a sign of life on a new connection.
  void Probe(const http::BackendResult& lost, bool shared);
  void OnProbeResult(const http::BackendResult& probe);
  // Hands the end of an attempt to its query.
  void Deliver(query::AttemptId attempt, AttemptOutcome outcome);
  QueryShard& ShardOfAttempt(query::AttemptId attempt);

  const ServiceViews& views_;
  ServerTable servers_;
  // Attempt ids are congruent to the index of their shard.
  std::vector<std::unique_ptr<QueryShard>> shards_;
  // Indexed like the shards of `servers_`.
  std::vector<std::unique_ptr<http::BackendChannel>> channels_;
  std::atomic<size_t> next_shard_ = 0;
  CrashGuard& crash_guard_;
  telemetry::Metrics& metrics_;
  std::mutex probes_mutex_;
  // Guarded by `probes_mutex_`. Lost attempts by the attempt id of their probe.
  std::map<query::AttemptId, LostAttempt> probes_;
  query::AttemptId next_probe_ = kFirstProbe;
  // Nodes that share the servers' connection limits.
  std::atomic<uint32_t> nodes_ = 1;

  struct GateShard {
    std::mutex mutex;
    // Guarded by `mutex`; gates are never removed.
    std::map<ServiceName, std::unique_ptr<ServiceGate>> gates;
  };
  // Indexed by the hash of the service name.
  std::vector<std::unique_ptr<GateShard>> gates_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_QUERY_ENGINE_H_
