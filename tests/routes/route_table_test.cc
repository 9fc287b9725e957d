// Tests the lookup of the route of a request.

#include <gtest/gtest.h>

#include <string>

#include "gooseberryrock/routes/route_table.h"

namespace gooseberryrock::routes {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

class RouteTableTest : public testing::Test {
 protected:
  RouteTableTest() {
    RouteSet set;
    set.routes = {MakeRoute("root", "a", "/"), MakeRoute("short", "a", "/x/"),
                  MakeRoute("long", "a", "/x/y/"),
                  MakeRoute("other", "b", "/x/")};
    table_ = BuildRouteTable(set);
  }

  std::string Find(const std::string& host, const std::string& target) {
    const Route* route = FindRoute(table_, host, target);
    return route == nullptr ? "" : route->name;
  }

  RouteTable table_;
};

// Guards against preferring a shorter prefix over a longer one.
TEST_F(RouteTableTest, LongestPrefixWins) {
  EXPECT_EQ(Find("a", "/x/y/z"), "long");
  EXPECT_EQ(Find("a", "/x/y/"), "long");
  EXPECT_EQ(Find("a", "/x/z"), "short");
  EXPECT_EQ(Find("a", "/z"), "root");
}

// Guards against a prefix that matches only part of a path segment.
TEST_F(RouteTableTest, PrefixEndsAtSlash) {
  EXPECT_EQ(Find("a", "/x/yy"), "short");
  EXPECT_EQ(Find("b", "/xy"), "");
  EXPECT_EQ(Find("b", "/x"), "");
}

// Guards against treating a slash in the query as part of the path.
TEST_F(RouteTableTest, QueryIsNotPartOfPath) {
  EXPECT_EQ(Find("a", "/x/?q=/y/"), "short");
  EXPECT_EQ(Find("b", "/?q=/x/"), "");
}

// Guards against matching routes of another host.
TEST_F(RouteTableTest, HostsAreSeparate) {
  EXPECT_EQ(Find("b", "/x/y/z"), "other");
  EXPECT_EQ(Find("c", "/x/"), "");
}

}  // namespace
}  // namespace gooseberryrock::routes
