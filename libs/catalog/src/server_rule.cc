// Matches backend servers against rules.

#include "gooseberryrock/catalog/server_rule.h"

#include <algorithm>

namespace gooseberryrock::catalog {

namespace {

bool Matches(const Labels& selector, const Labels& labels) {
  return std::all_of(selector.begin(), selector.end(), [&](const auto& want) {
    auto it = labels.find(want.first);
    return it != labels.end() && it->second == want.second;
  });
}

}  // namespace

bool IsServerAllowed(const std::vector<ServerRule>& rules,
                     const Labels& labels) {
  for (const ServerRule& rule : rules) {
    if (Matches(rule.selector, labels)) {
      return rule.allow;
    }
  }
  return rules.empty();
}

}  // namespace gooseberryrock::catalog
