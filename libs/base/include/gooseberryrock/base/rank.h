// The ranks of requests.

#ifndef GOOSEBERRYROCK_BASE_RANK_H_
#define GOOSEBERRYROCK_BASE_RANK_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace gooseberryrock {

// In descending order of urgency.
enum class Rank { kUrgent, kNormal, kBackground };

inline constexpr std::array kAllRanks = {Rank::kUrgent, Rank::kNormal,
                                         Rank::kBackground};
inline constexpr size_t kRankCount = kAllRanks.size();

// Index of `rank` in arrays with one element per rank.
constexpr size_t RankIndex(Rank rank) {
  return static_cast<size_t>(rank);
}

// "urgent", "normal" or "background".
std::string_view RankName(Rank rank);

// Returns the rank with the given name, or nullopt if there is none.
std::optional<Rank> ParseRank(std::string_view name);

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_RANK_H_
