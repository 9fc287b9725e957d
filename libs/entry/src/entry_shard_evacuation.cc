// An I/O shard of an entry node: servers of failure domains that an operator
// evacuates.

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "entry_shard.h"
#include "entry_shard_state.h"
#include "gooseberryrock/relay/evacuated_servers.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/transport/io_thread.h"

namespace gooseberryrock::entry {

void EntryShard::SetEvacuation(const routes::EvacuatedDomains& evacuated,
                               bool is_unconfirmed) {
  thread_.Post([this, evacuated, is_unconfirmed] {
    std::lock_guard lock(mutex_);
    evacuation_unconfirmed_ = is_unconfirmed;
    if (routes::FollowNewer(evacuated_, evacuated)) {
      std::string domains;
      for (const FailureDomain& it : evacuated_.domains) {
        domains += (domains.empty() ? "" : ",") + it.value;
      }
      telemetry::LogEvent(telemetry::LogLevel::kInfo, "evacuation_followed",
                          {{"version", std::to_string(evacuated_.version)},
                           {"failure_domains", domains}});
      ApplyAllShares();
      CancelEvacuatedWaits();
    }
    RetryParked();
  });
}

bool EntryShard::AwaitsEvacuation(SteadyTime now) const {
  return evacuation_unconfirmed_ && IsDiscovering(now);
}

void EntryShard::CancelEvacuatedWaits() {
  if (evacuated_.domains.empty()) {
    return;
  }
  // The attempts are repeated elsewhere at once, which may add pools.
  std::vector<std::pair<relay::ServicePool*, BackendServerId>> waiting;
  for (auto& [service, pool] : pools_) {
    for (const relay::PoolServer& it : pool.servers) {
      if (it.evacuated && it.queued > 0) {
        waiting.emplace_back(&pool, it.id);
      }
    }
  }
  for (const auto& [pool, id] : waiting) {
    if (relay::PoolServer* server = relay::FindServer(*pool, id)) {
      connections_.CancelAllWaits(*server);
    }
  }
}

bool EntryShard::EvacuationLeavesCoverage(const routes::Route& route) {
  const auto* sharded = std::get_if<routes::ShardedTarget>(&route.target);
  return evacuated_.domains.empty() || sharded == nullptr ||
         relay::LeavesCoverage(PoolsOf(route), sharded->minimum_coverage);
}

}  // namespace gooseberryrock::entry
