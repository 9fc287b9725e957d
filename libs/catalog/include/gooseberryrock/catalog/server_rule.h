// A rule that says which backend servers serve a service.

#ifndef GOOSEBERRYROCK_CATALOG_SERVER_RULE_H_
#define GOOSEBERRYROCK_CATALOG_SERVER_RULE_H_

#include <map>
#include <string>
#include <vector>

namespace gooseberryrock::catalog {

using Labels = std::map<std::string, std::string>;

struct ServerRule {
  // Matches a backend server that announces all of these labels. An empty
  // selector matches every server.
  Labels selector;
  bool allow = true;

  auto operator<=>(const ServerRule&) const = default;
};

// Whether a backend server with `labels` may serve. The first rule that matches
// decides; a server that no rule matches is allowed only when there are no
// rules at all.
bool IsServerAllowed(const std::vector<ServerRule>& rules,
                     const Labels& labels);

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_SERVER_RULE_H_
