// What an evacuation of failure domains leaves of the servers of a request.

#include "gooseberryrock/relay/evacuated_servers.h"

#include <algorithm>

#include "gooseberryrock/relay/gather.h"
#include "gooseberryrock/relay/pool_server.h"
#include "gooseberryrock/relay/service_pool.h"

namespace gooseberryrock::relay {

namespace {

bool IsEvacuated(const ServicePool& shard) {
  return !std::any_of(shard.servers.begin(), shard.servers.end(),
                      IsOpenToWork) &&
         std::any_of(
             shard.servers.begin(), shard.servers.end(),
             [](const PoolServer& it) { return it.usable && it.evacuated; });
}

}  // namespace

bool IsOpenToWork(const PoolServer& server) {
  return server.usable && !server.evacuated;
}

bool LeavesCoverage(std::span<ServicePool* const> shards,
                    double minimum_coverage) {
  const auto evacuated = static_cast<size_t>(
      std::count_if(shards.begin(), shards.end(),
                    [](const ServicePool* it) { return IsEvacuated(*it); }));
  return evacuated == 0 || shards.size() - evacuated >=
                               MinShards(shards.size(), minimum_coverage);
}

}  // namespace gooseberryrock::relay
