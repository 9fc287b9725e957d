// Merges the replies of the shards of one request.

#ifndef GOOSEBERRYROCK_RELAY_GATHER_H_
#define GOOSEBERRYROCK_RELAY_GATHER_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gooseberryrock::relay {

// A reply is a sequence of records of this size, in no order. A remainder
// shorter than this is no record.
inline constexpr size_t kRecordBytes = 16;

// The greatest `top_records` records of all `bodies`, greatest first, compared
// byte by byte. Equal records all count.
std::string GreatestRecords(std::span<const std::string_view> bodies,
                            uint32_t top_records);

// Shards that must be in an answer of `shards` shards to cover at least
// `least_coverage`, at least one.
size_t LeastShards(size_t shards, double least_coverage);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_GATHER_H_
