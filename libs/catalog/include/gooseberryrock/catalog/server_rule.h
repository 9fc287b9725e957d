// Rules that select the backend servers of a service.

#ifndef GOOSEBERRYROCK_CATALOG_SERVER_RULE_H_
#define GOOSEBERRYROCK_CATALOG_SERVER_RULE_H_

#include <map>
#include <string>
#include <vector>

namespace gooseberryrock::catalog {

using Labels = std::map<std::string, std::string>;

struct ServerRule {
  // Matches a backend server that announces all these labels. An empty selector
  // matches every server.
  Labels selector;
  bool allow = true;

  auto operator<=>(const ServerRule&) const = default;
};

// Whether a backend server with `labels` may serve. The first matching rule
// decides. A server that matches no rule is allowed only if there are no rules.
bool IsServerAllowed(const std::vector<ServerRule>& rules,
                     const Labels& labels);

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_SERVER_RULE_H_
