// Looks up the route of a request.

#include "gooseberryrock/routes/route_table.h"

#include <utility>

namespace gooseberryrock::routes {

RouteTable BuildRouteTable(RouteSet set) {
  RouteTable table;
  table.set = std::move(set);
  for (size_t i = 0; i < table.set.routes.size(); ++i) {
    const Route& route = table.set.routes[i];
    table.hosts[route.host][route.path_prefix] = i;
  }
  table.organisations =
      organisations::BuildOrganisationTable(table.set.organisations);
  return table;
}

const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view request_target) {
  auto prefixes = table.hosts.find(host);
  if (prefixes == table.hosts.end()) {
    return nullptr;
  }
  std::string_view path = request_target.substr(0, request_target.find('?'));
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    auto it = prefixes->second.find(path.substr(0, end + 1));
    if (it != prefixes->second.end()) {
      return &table.set.routes[it->second];
    }
  }
  return nullptr;
}

}  // namespace gooseberryrock::routes
