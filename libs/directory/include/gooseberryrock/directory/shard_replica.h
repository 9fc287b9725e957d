// A replica of a shard on a backend server.

#ifndef GOOSEBERRYROCK_DIRECTORY_SHARD_REPLICA_H_
#define GOOSEBERRYROCK_DIRECTORY_SHARD_REPLICA_H_

#include <cstdint>
#include <vector>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::directory {

struct ShardReplica {
  uint64_t layout_version = 0;
  ShardId shard;
  // Available index versions, in ascending order.
  std::vector<uint64_t> index_versions;

  auto operator<=>(const ShardReplica&) const = default;
};

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_SHARD_REPLICA_H_
