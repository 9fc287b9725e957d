// Tests which callers may use a route.

#include "caller_access.h"

#include <gtest/gtest.h>

#include "gooseberryrock/entry/caller_request.h"
#include "gooseberryrock/organisations/key_hash.h"
#include "gooseberryrock/organisations/organisation.h"
#include "gooseberryrock/routes/route_table.h"

namespace gooseberryrock::entry {
namespace {

routes::RouteTable MakeTable() {
  routes::RouteSet set;
  set.routes.resize(2);
  set.routes[0].name = "private";
  set.routes[0].rank = Rank::kBackground;
  set.routes[1].name = "public";
  set.routes[1].is_public = true;
  organisations::Organisation organisation;
  organisation.name = {"a"};
  organisation.keys = {organisations::HashKey("key")};
  organisation.rank = Rank::kUrgent;
  set.organisations.push_back(organisation);
  return routes::BuildRouteTable(std::move(set));
}

CallerRequest WithKey(const char* key) {
  CallerRequest caller;
  caller.key = organisations::HashKey(key);
  return caller;
}

// Guards against access without a key of an organisation.
TEST(CallerAccessTest, PrivateRoutesNeedAKnownKey) {
  const routes::RouteTable table = MakeTable();
  const routes::Route& route = table.set.routes[0];
  EXPECT_FALSE(CheckAccess(table, route, CallerRequest()).granted);
  EXPECT_FALSE(CheckAccess(table, route, WithKey("other")).granted);
  const CallerAccess access = CheckAccess(table, route, WithKey("key"));
  ASSERT_TRUE(access.granted);
  ASSERT_NE(access.organisation, nullptr);
  EXPECT_EQ(access.organisation->name.value, "a");
  EXPECT_EQ(RankOf(route, access.organisation), Rank::kUrgent);
}

// Guards against a public route that asks for a key, or that names an
// organisation to servers because of the key that a caller sent.
TEST(CallerAccessTest, PublicRoutesNeedNone) {
  const routes::RouteTable table = MakeTable();
  const routes::Route& route = table.set.routes[1];
  for (const CallerRequest& it :
       {CallerRequest(), WithKey("key"), WithKey("other")}) {
    const CallerAccess access = CheckAccess(table, route, it);
    EXPECT_TRUE(access.granted);
    EXPECT_EQ(access.organisation, nullptr);
  }
}

// Guards against a change for deployments without organisations.
TEST(CallerAccessTest, NoKeyIsNeededWithoutOrganisations) {
  routes::RouteTable table = MakeTable();
  table.set.organisations.clear();
  const routes::Route& route = table.set.routes[0];
  EXPECT_TRUE(CheckAccess(table, route, CallerRequest()).granted);
  EXPECT_TRUE(CheckAccess(table, route, WithKey("other")).granted);
  EXPECT_EQ(RankOf(route, nullptr), Rank::kBackground);
}

}  // namespace
}  // namespace gooseberryrock::entry
