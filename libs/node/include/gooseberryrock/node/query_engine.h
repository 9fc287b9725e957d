// Executes queries: routes and sends attempts and delivers their results.

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
#include "gooseberryrock/node/service_admission.h"
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
  // Attempt ids from this value on identify probes.
  static constexpr query::AttemptId kFirstProbeId = query::AttemptId{1} << 63;

  using AttemptOutcome =
      std::variant<query::SubqueryReply, query::AttemptFailure>;

  QueryEngine(const QueryEngineOptions& options,
              const ServiceViews& views,
              CrashGuard& crash_guard,
              telemetry::Metrics& metrics);
  QueryEngine(const QueryEngine&) = delete;
  QueryEngine& operator=(const QueryEngine&) = delete;
  // No query may be running when the engine is destroyed.
  ~QueryEngine();

  // Runs the request and blocks until its answer is ready, at the deadline at
  // the latest.
  query::Answer Execute(const query::QueryRequest& request);

  // Applies a changed server record. `connections` is this node's share of the
  // server's connection limit.
  void OnServerChanged(const directory::ServerRecord& record,
                       uint32_t connections);

 private:
  // An attempt whose connection was lost, pending a probe of whether its server
  // crashed.
  struct LostAttempt {
    query::AttemptId attempt = 0;
    uint64_t fingerprint = 0;
    // Other attempts of this node were running on the server.
    bool shared = false;
  };

  void ExecuteEffects(size_t shard, const QueryShard::PendingEffects& pending);
  void Send(size_t shard,
            const QueryShard::PendingEffects& pending,
            const query::AttemptToSend& attempt);
  void FindNewerSnapshot(size_t shard,
                         const QueryShard::PendingEffects& pending);
  // Returns the admission control of the service, updated to `view`.
  ServiceAdmission& UpdatedAdmission(
      const std::shared_ptr<const ServiceView>& view);
  ServiceAdmission& AdmissionOf(const ServiceName& service);
  uint32_t SlotsOfSmallestShard(const ServiceView& view) const;
  // Waits for admission and runs the request on the shards of `plan`.
  query::Answer RunPlan(const query::QueryRequest& request,
                        const std::shared_ptr<const ServiceView>& view,
                        query::QueryPlan plan,
                        std::optional<uint32_t> max_attempts = std::nullopt);
  // Runs a request suspected of crashing servers: one attempt on one shard,
  // then all shards only if it succeeds.
  query::Answer RunExclusive(const query::QueryRequest& request,
                             const std::shared_ptr<const ServiceView>& view,
                             const query::QueryPlan& plan);
  void OnResult(const http::BackendResult& result);
  // Probes the server of a lost attempt on a new connection.
  void Probe(const http::BackendResult& lost, bool shared);
  void OnProbeResult(const http::BackendResult& probe);
  // Delivers the outcome of an attempt to its query.
  void DeliverOutcome(query::AttemptId attempt, AttemptOutcome outcome);
  QueryShard& ShardOfAttempt(query::AttemptId attempt);

  const ServiceViews& views_;
  ServerTable servers_;
  // An attempt id modulo the number of shards is the index of its shard.
  std::vector<std::unique_ptr<QueryShard>> shards_;
  // Indexed like the shards of `servers_`.
  std::vector<std::unique_ptr<http::BackendChannel>> channels_;
  std::atomic<size_t> next_shard_ = 0;
  CrashGuard& crash_guard_;
  telemetry::Metrics& metrics_;
  std::mutex probes_mutex_;
  // Guarded by `probes_mutex_`. Lost attempts by the id of their probe.
  std::map<query::AttemptId, LostAttempt> probes_;
  query::AttemptId next_probe_id_ = kFirstProbeId;
  // Number of nodes that share the connection limits of the servers.
  std::atomic<uint32_t> nodes_ = 1;

  struct AdmissionShard {
    std::mutex mutex;
    // Guarded by `mutex`. Entries are never removed.
    std::map<ServiceName, std::unique_ptr<ServiceAdmission>> services;
  };
  // Indexed by the hash of the service name.
  std::vector<std::unique_ptr<AdmissionShard>> admission_shards_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_QUERY_ENGINE_H_
