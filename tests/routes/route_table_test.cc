// Finding the route of a request.

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

// Guards against a shorter prefix that wins over a longer one.
TEST_F(RouteTableTest, LongestPrefixWins) {
  EXPECT_EQ(Find("a", "/x/y/z"), "long");
  EXPECT_EQ(Find("a", "/x/y/"), "long");
  EXPECT_EQ(Find("a", "/x/z"), "short");
  EXPECT_EQ(Find("a", "/z"), "root");
}

// Guards against a prefix that matches part of a name.
TEST_F(RouteTableTest, PrefixEndsAtSlash) {
  EXPECT_EQ(Find("a", "/x/yy"), "short");
  EXPECT_EQ(Find("b", "/xy"), "");
  EXPECT_EQ(Find("b", "/x"), "");
}

// Guards against a slash in the query that is taken for part of the path.
TEST_F(RouteTableTest, QueryIsNoPath) {
  EXPECT_EQ(Find("a", "/x/?q=/y/"), "short");
  EXPECT_EQ(Find("b", "/?q=/x/"), "");
}

// Guards against routes of another host.
TEST_F(RouteTableTest, HostsAreApart) {
  EXPECT_EQ(Find("b", "/x/y/z"), "other");
  EXPECT_EQ(Find("c", "/x/"), "");
}

}  // namespace
}  // namespace gooseberryrock::routes
