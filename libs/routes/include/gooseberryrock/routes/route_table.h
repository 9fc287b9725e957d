// Looks up the route of a request.

#ifndef GOOSEBERRYROCK_ROUTES_ROUTE_TABLE_H_
#define GOOSEBERRYROCK_ROUTES_ROUTE_TABLE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gooseberryrock/organisations/organisation_table.h"
#include "gooseberryrock/routes/route_set.h"

namespace gooseberryrock::routes {

// Allows lookup in maps with string keys without copying the key.
struct StringHash {
  using is_transparent = void;
  size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};

// Path prefix -> index into RouteSet::routes.
using PrefixIndex =
    std::unordered_map<std::string, size_t, StringHash, std::equal_to<>>;

// Immutable once built, so threads share it without a lock.
struct RouteTable {
  RouteSet set;
  // Host -> its path prefixes.
  std::unordered_map<std::string, PrefixIndex, StringHash, std::equal_to<>>
      hosts;
  // Of `set.organisations`.
  organisations::OrganisationTable organisations;
};

RouteTable BuildRouteTable(RouteSet set);

// Returns the route of `host` with the longest prefix of the path of
// `request_target` (a path with an optional query), or null if there is none.
const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view request_target);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_TABLE_H_
