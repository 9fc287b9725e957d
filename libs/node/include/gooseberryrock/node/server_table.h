// State of each backend server as observed by this node's own attempts, sharded
// by server id.

#ifndef GOOSEBERRYROCK_NODE_SERVER_TABLE_H_
#define GOOSEBERRYROCK_NODE_SERVER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/query/server_stats.h"
#include "gooseberryrock/query/server_view.h"

namespace gooseberryrock::directory {
struct ServerRecord;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::node {

class ServerTable {
 public:
  ServerTable(FailureDomain own_failure_domain, size_t shard_count);

  // Adds the server or updates its announced fields. Keeps the estimates.
  void Put(const directory::ServerRecord& record);
  void Remove(const BackendServerId& server);

  // Empty if the server is unknown.
  std::optional<query::ServerView> View(const BackendServerId& server) const;

  // Zero if the server is unknown.
  uint64_t IncarnationOf(const BackendServerId& server) const;

  void OnAttemptStarted(const BackendServerId& server, SteadyTime now);
  // See query::RecordAttemptEnd().
  void OnAttemptEnded(const BackendServerId& server,
                      query::AttemptEnd end,
                      Duration elapsed,
                      Duration mean_time,
                      SteadyTime now);

  // Index of the shard that `server` belongs to, in [0, shard_count).
  size_t ShardOf(const BackendServerId& server) const;

 private:
  struct Entry {
    query::ServerView view;
    uint64_t incarnation = 0;
  };
  struct Shard {
    mutable std::mutex mutex;
    // Guarded by `mutex`.
    std::map<BackendServerId, Entry> entries;
  };

  const FailureDomain own_failure_domain_;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_SERVER_TABLE_H_
