// The division of the data of a service into shards.

#ifndef GOOSEBERRYROCK_CATALOG_SHARD_LAYOUT_H_
#define GOOSEBERRYROCK_CATALOG_SHARD_LAYOUT_H_

#include <cstdint>
#include <vector>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::catalog {

struct ShardLayout {
  // Increases with each repartition of the service.
  uint64_t version = 0;
  // All shards of the layout, in order and without duplicates. Coverage is
  // computed against this list.
  std::vector<ShardId> shards;

  auto operator<=>(const ShardLayout&) const = default;
};

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_SHARD_LAYOUT_H_
