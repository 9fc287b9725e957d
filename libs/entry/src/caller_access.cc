// Decides whether a caller may use a route.

#include "caller_access.h"

#include "gooseberryrock/entry/caller_request.h"
#include "gooseberryrock/organisations/organisation.h"
#include "gooseberryrock/organisations/organisation_table.h"
#include "gooseberryrock/routes/route_table.h"

namespace gooseberryrock::entry {

bool NeedsKey(const routes::RouteTable& table, const routes::Route& route) {
  return !table.set.organisations.empty() && !route.is_public;
}

CallerAccess CheckAccess(const routes::RouteTable& table,
                         const routes::Route& route,
                         const CallerRequest& caller) {
  CallerAccess access;
  if (!NeedsKey(table, route)) {
    access.granted = true;
    return access;
  }
  if (caller.key) {
    access.organisation = organisations::FindByKey(
        table.organisations, table.set.organisations, *caller.key);
  }
  access.granted = access.organisation != nullptr;
  return access;
}

const organisations::Organisation* FindOrganisation(
    const routes::RouteTable& table,
    const OrganisationName& name) {
  return organisations::FindByName(table.organisations, table.set.organisations,
                                   name);
}

Rank RankOf(const routes::Route& route,
            const organisations::Organisation* organisation) {
  return organisation != nullptr && organisation->rank ? *organisation->rank
                                                       : route.rank;
}

}  // namespace gooseberryrock::entry
