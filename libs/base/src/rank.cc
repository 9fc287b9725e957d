// Names of the ranks.

#include "gooseberryrock/base/rank.h"

namespace gooseberryrock {

std::string_view RankName(Rank rank) {
  switch (rank) {
    case Rank::kUrgent:
      return "urgent";
    case Rank::kNormal:
      return "normal";
    case Rank::kBackground:
      return "background";
  }
  return "unknown";
}

std::optional<Rank> ParseRank(std::string_view name) {
  for (Rank rank : kAllRanks) {
    if (RankName(rank) == name) {
      return rank;
    }
  }
  return std::nullopt;
}

}  // namespace gooseberryrock
