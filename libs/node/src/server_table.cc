// What this node knows of each backend server from its own attempts.

#include "gooseberryrock/node/server_table.h"

#include <utility>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::node {

namespace {

// Weight of the newest attempt in the moving estimates.
constexpr double kEstimateWeight = 0.1;

}  // namespace

ServerTable::ServerTable(FailureDomain own_failure_domain, size_t shard_count)
    : own_failure_domain_(std::move(own_failure_domain)) {
  for (size_t i = 0; i < shard_count; ++i) {
    shards_.push_back(std::make_unique<Shard>());
  }
}

void ServerTable::Put(const directory::ServerRecord& record) {
  Shard& shard = *shards_[ShardOf(record.id)];
  std::lock_guard lock(shard.mutex);
  query::ServerView& view = shard.views[record.id];
  view.id = record.id;
  view.own_failure_domain = record.failure_domain == own_failure_domain_;
  view.slots = record.slots;
}

void ServerTable::Remove(const BackendServerId& server) {
  Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  shard.views.erase(server);
}

std::optional<query::ServerView> ServerTable::View(
    const BackendServerId& server) const {
  const Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  auto it = shard.views.find(server);
  if (it == shard.views.end()) {
    return std::nullopt;
  }
  return it->second;
}

void ServerTable::OnAttemptStarted(const BackendServerId& server) {
  Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  auto it = shard.views.find(server);
  if (it != shard.views.end()) {
    ++it->second.outstanding;
  }
}

void ServerTable::OnAttemptEnded(const BackendServerId& server,
                                 bool failed,
                                 std::optional<Duration> service_time) {
  Shard& shard = *shards_[ShardOf(server)];
  std::lock_guard lock(shard.mutex);
  auto it = shard.views.find(server);
  if (it == shard.views.end()) {
    return;
  }
  query::ServerView& view = it->second;
  if (view.outstanding > 0) {
    --view.outstanding;
  }
  view.failure_rate += kEstimateWeight * ((failed ? 1 : 0) - view.failure_rate);
  if (service_time) {
    const Duration change = *service_time - view.service_time;
    view.service_time =
        view.service_time == Duration::zero()
            ? *service_time
            : view.service_time + std::chrono::duration_cast<Duration>(
                                      kEstimateWeight * change);
  }
}

size_t ServerTable::ShardOf(const BackendServerId& server) const {
  return Hash64(server.value) % shards_.size();
}

}  // namespace gooseberryrock::node
