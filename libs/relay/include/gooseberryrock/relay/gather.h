// Merges the replies of the shards of a gathered request.

#ifndef GOOSEBERRYROCK_RELAY_GATHER_H_
#define GOOSEBERRYROCK_RELAY_GATHER_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gooseberryrock::relay {

// Size of a record. A reply is an unordered sequence of records; trailing bytes
// that do not fill a record are ignored.
inline constexpr size_t kRecordBytes = 16;

// Returns the `top_records` greatest records of all `bodies` in descending
// order, compared as unsigned bytes. Duplicates are kept.
std::string TopRecords(std::span<const std::string_view> bodies,
                       uint32_t top_records);

// The minimum number of shards, out of `shards`, whose replies cover at least
// `minimum_coverage`; at least 1.
size_t MinShards(size_t shards, double minimum_coverage);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_GATHER_H_
