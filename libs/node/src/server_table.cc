// State of each backend server as observed by this node's own attempts.

#include "gooseberryrock/node/server_table.h"

#include <utility>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::node {

ServerTable::ServerTable(FailureDomain own_failure_domain, size_t shard_count)
    : own_failure_domain_(std::move(own_failure_domain)) {
  for (size_t i = 0; i < shard_count; ++i) {
    shards_.push_back(std::make_unique<Shard>());
  }
}

void ServerTable::Put(const directory::ServerRecord& record) {
  Shard& shard = *shards_[ShardOf(record.id)];
  std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries[record.id];
  query::ServerView& view = entry.view;
  if (record.incarnation > entry.incarnation) {
    query::RecordRestart(view);
    entry.incarnation = record.incarnation;
  }
  view.id = record.id;
  view.own_failure_domain = record.failure_domain == own_failure_domain_;
  view.slots = record.slots;
}

void ServerTable::Remove(const BackendServerId& server) {
  Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  shard.entries.erase(server);
}

std::optional<query::ServerView> ServerTable::View(
    const BackendServerId& server) const {
  const Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  auto it = shard.entries.find(server);
  if (it == shard.entries.end()) {
    return std::nullopt;
  }
  return it->second.view;
}

uint64_t ServerTable::IncarnationOf(const BackendServerId& server) const {
  const Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  auto it = shard.entries.find(server);
  return it == shard.entries.end() ? 0 : it->second.incarnation;
}

void ServerTable::OnAttemptStarted(const BackendServerId& server,
                                   SteadyTime now) {
  Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  auto it = shard.entries.find(server);
  if (it != shard.entries.end()) {
    query::RecordAttemptStart(it->second.view, now);
  }
}

void ServerTable::OnAttemptEnded(const BackendServerId& server,
                                 query::AttemptEnd end,
                                 Duration elapsed,
                                 Duration mean_time,
                                 SteadyTime now) {
  Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  auto it = shard.entries.find(server);
  if (it != shard.entries.end()) {
    query::RecordAttemptEnd(it->second.view, end, elapsed, mean_time, now);
  }
}

size_t ServerTable::ShardOf(const BackendServerId& server) const {
  return Hash64(server.value) % shards_.size();
}

}  // namespace gooseberryrock::node
