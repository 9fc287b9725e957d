// A consistent version of a service's data, from which a query is answered.

#ifndef GOOSEBERRYROCK_QUERY_SNAPSHOT_H_
#define GOOSEBERRYROCK_QUERY_SNAPSHOT_H_

#include <compare>
#include <cstdint>

namespace gooseberryrock::query {

struct Snapshot {
  uint64_t layout_version = 0;
  uint64_t index_version = 0;

  auto operator<=>(const Snapshot&) const = default;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SNAPSHOT_H_
