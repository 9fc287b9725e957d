// Merges the replies of the shards of a gathered request.

#include "gooseberryrock/relay/gather.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace gooseberryrock::relay {

std::string TopRecords(std::span<const std::string_view> bodies,
                       uint32_t top_records) {
  std::vector<std::string_view> records;
  for (std::string_view body : bodies) {
    for (; body.size() >= kRecordBytes; body.remove_prefix(kRecordBytes)) {
      records.push_back(body.substr(0, kRecordBytes));
    }
  }
  const size_t n = std::min<size_t>(top_records, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(n),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(n * kRecordBytes);
  for (size_t i = 0; i < n; ++i) {
    merged += records[i];
  }
  return merged;
}

size_t MinShards(size_t shards, double minimum_coverage) {
  // A product such as 0.7 * 10 may be slightly above the integer.
  constexpr double kRoundingTolerance = 1e-9;
  const double least = std::ceil(
      static_cast<double>(shards) * minimum_coverage - kRoundingTolerance);
  return std::clamp<size_t>(static_cast<size_t>(std::max(least, 1.0)), 1,
                            std::max<size_t>(shards, 1));
}

}  // namespace gooseberryrock::relay
