// Decides whether a caller may use a route.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_CALLER_ACCESS_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_CALLER_ACCESS_H_

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"

namespace gooseberryrock::organisations {
struct Organisation;
}  // namespace gooseberryrock::organisations

namespace gooseberryrock::routes {
struct Route;
struct RouteTable;
}  // namespace gooseberryrock::routes

namespace gooseberryrock::entry {

struct CallerRequest;

struct CallerAccess {
  bool granted = false;
  // The organisation of the caller, owned by the routes; null if callers of the
  // route need no key.
  const organisations::Organisation* organisation = nullptr;
};

// Whether callers of the route need a key.
bool NeedsKey(const routes::RouteTable& table, const routes::Route& route);

CallerAccess CheckAccess(const routes::RouteTable& table,
                         const routes::Route& route,
                         const CallerRequest& caller);

// Returns the organisation of a request that another entry node has granted
// access under the same version of the routes; null if `name` is empty or
// unknown.
const organisations::Organisation* FindOrganisation(
    const routes::RouteTable& table,
    const OrganisationName& name);

// `organisation` may be null.
Rank RankOf(const routes::Route& route,
            const organisations::Organisation* organisation);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_CALLER_ACCESS_H_
