// A searchable service as defined by its operator.

#ifndef GOOSEBERRYROCK_CATALOG_SERVICE_DEFINITION_H_
#define GOOSEBERRYROCK_CATALOG_SERVICE_DEFINITION_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/catalog/rank_policy.h"
#include "gooseberryrock/catalog/server_rule.h"
#include "gooseberryrock/catalog/shard_layout.h"

namespace gooseberryrock::catalog {

struct ServiceDefinition {
  ServiceName name;
  // One layout, or two while the data is being repartitioned, in ascending
  // order of version.
  std::vector<ShardLayout> layouts;
  std::array<RankPolicy, kRankCount> rank_policies;
  std::vector<ServerRule> rules;
  // Maximum number of rows in an answer, in [1, kMaxRowLimit].
  uint32_t row_limit = 1000;

  auto operator<=>(const ServiceDefinition&) const = default;
};

// Returns the layout with version `version`, or null if there is none.
const ShardLayout* FindLayout(const ServiceDefinition& service,
                              uint64_t version);

// Returns the shard of `layout` that holds the data for `routing_key`. Uses
// rendezvous hashing, so that a repartition moves only the keys of changed
// shards.
const ShardId& ShardForKey(const ShardLayout& layout,
                           std::string_view routing_key);

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_SERVICE_DEFINITION_H_
