// Validates changes to the catalog.

#include "gooseberryrock/catalog/validate.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string_view>

#include "gooseberryrock/catalog/catalog.h"

namespace gooseberryrock::catalog {

namespace {

using Problems = std::vector<std::string>;

void CheckName(std::string_view what,
               const std::string& name,
               Problems& problems) {
  if (!IsValidName(name)) {
    problems.push_back(std::string(what) + " '" +
                       name.substr(0, kMaxNameLength) + "' must have 1 to " +
                       std::to_string(kMaxNameLength) +
                       " letters, digits, '-', '_' or '.'");
  }
}

void CheckLayout(const ShardLayout& layout, Problems& problems) {
  const std::string where = "layout " + std::to_string(layout.version);
  if (layout.version == 0) {
    problems.push_back("a layout's version must be at least 1");
  }
  if (layout.shards.empty() || layout.shards.size() > kMaxShards) {
    problems.push_back(where + " must have 1 to " + std::to_string(kMaxShards) +
                       " shards, not " + std::to_string(layout.shards.size()));
  }
  std::set<ShardId> seen;
  for (const ShardId& shard : layout.shards) {
    CheckName(where + ": shard", shard.value, problems);
    if (!seen.insert(shard).second) {
      problems.push_back(where + " names shard '" + shard.value + "' twice");
    }
  }
}

void CheckLayouts(const ServiceDefinition& service, Problems& problems) {
  const size_t n = service.layouts.size();
  if (n < 1 || n > 2) {
    problems.push_back("a service must have one or two layouts, not " +
                       std::to_string(n));
  }
  for (const ShardLayout& layout : service.layouts) {
    CheckLayout(layout, problems);
  }
  if (n == 2 && service.layouts[0].version >= service.layouts[1].version) {
    problems.emplace_back("layouts must be in rising order of version");
  }
}

void CheckRankPolicies(const ServiceDefinition& service, Problems& problems) {
  double floor_sum = 0;
  for (Rank rank : kAllRanks) {
    const RankPolicy& policy = service.rank_policies[RankIndex(rank)];
    const std::string where = "rank " + std::string(RankName(rank));
    if (policy.target_latency < std::chrono::milliseconds(1) ||
        policy.target_latency > kMaxTargetLatency) {
      problems.push_back(where + ": target latency must be 1 to 60000 ms");
    }
    // The negated form also rejects NaN.
    if (!(policy.floor_share >= 0 && policy.floor_share <= 1)) {
      problems.push_back(where + ": floor share must be 0 to 1");
    }
    floor_sum += policy.floor_share;
  }
  // Tolerates the rounding of decimal shares such as 0.1.
  constexpr double kRoundingError = 1e-9;
  if (floor_sum > 1 + kRoundingError) {
    problems.emplace_back(
        "the floor shares of the ranks must sum to at most 1");
  }
}

void Check(const Catalog& catalog,
           const PutService& change,
           Problems& problems) {
  const ServiceDefinition& service = change.service;
  CheckName("service name", service.name.value, problems);
  CheckLayouts(service, problems);
  CheckRankPolicies(service, problems);
  if (service.rules.size() > kMaxRules) {
    problems.push_back("a service must have at most " +
                       std::to_string(kMaxRules) + " rules");
  }
  if (service.row_limit < 1 || service.row_limit > kMaxRowLimit) {
    problems.push_back("the row limit must be 1 to " +
                       std::to_string(kMaxRowLimit));
  }
  if (!catalog.services.contains(service.name) &&
      catalog.services.size() >= kMaxServices) {
    problems.push_back("there are already " + std::to_string(kMaxServices) +
                       " services");
  }
}

void Check(const Catalog& catalog,
           const RemoveService& change,
           Problems& problems) {
  if (!catalog.services.contains(change.name)) {
    problems.push_back("there is no service '" + change.name.value + "'");
  }
}

void Check(const Catalog& /*catalog*/,
           const SetReservation& change,
           Problems& problems) {
  if (change.nodes.empty()) {
    problems.emplace_back("a reservation must name a failure domain");
  }
  for (const auto& [domain, n] : change.nodes) {
    CheckName("failure domain", domain.value, problems);
    if (n < 1 || n > kMaxReservedNodes) {
      problems.push_back("failure domain '" + domain.value +
                         "': reserved nodes must be 1 to " +
                         std::to_string(kMaxReservedNodes));
    }
  }
}

}  // namespace

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

std::vector<std::string> Validate(const Catalog& catalog,
                                  const Change& change) {
  Problems problems;
  std::visit([&](const auto& it) { Check(catalog, it, problems); }, change);
  return problems;
}

}  // namespace gooseberryrock::catalog
