// Runs queries: routes and sends their attempts and brings the results back.

#ifndef GOOSEBERRYROCK_NODE_QUERY_ENGINE_H_
#define GOOSEBERRYROCK_NODE_QUERY_ENGINE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/http/backend_channel.h"
#include "gooseberryrock/node/query_shard.h"
#include "gooseberryrock/node/server_table.h"
#include "gooseberryrock/node/service_gate.h"

namespace gooseberryrock::directory {
struct ServerRecord;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::node {

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
  QueryEngine(const QueryEngineOptions& options, const ServiceViews& views);
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
  void CarryOut(size_t shard, const QueryShard::Work& work);
  void Send(size_t shard,
            const QueryShard::Work& work,
            const query::AttemptToSend& attempt);
  void FindNewerSnapshot(size_t shard, const QueryShard::Work& work);
  // The gate of the service, up to date with `view`.
  ServiceGate& EnterableGate(const std::shared_ptr<const ServiceView>& view);
  ServiceGate& GateOf(const ServiceName& service);
  uint32_t SlotsOfScarcestShard(const ServiceView& view) const;
  void OnResult(const http::BackendResult& result);
  QueryShard& ShardOfAttempt(query::AttemptId attempt);

  const ServiceViews& views_;
  ServerTable servers_;
  // Attempt ids are congruent to the index of their shard.
  std::vector<std::unique_ptr<QueryShard>> shards_;
  // Indexed like the shards of `servers_`.
  std::vector<std::unique_ptr<http::BackendChannel>> channels_;
  std::atomic<size_t> next_shard_ = 0;
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
