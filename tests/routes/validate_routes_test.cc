// Tests the validation of a set of routes.

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "gooseberryrock/routes/route_set.h"
#include "gooseberryrock/routes/validate_routes.h"

namespace gooseberryrock::routes {
namespace {

RouteSet ValidSet() {
  RouteSet set;
  set.version = 1;
  set.services[{"s"}];
  set.services[{"t"}];
  Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/p/";
  route.timeout = std::chrono::seconds(1);
  route.target = SingleTarget{{"s"}};
  set.routes.push_back(route);
  return set;
}

std::vector<RouteProblemKind> Kinds(const RouteSet& set) {
  std::vector<RouteProblemKind> kinds;
  for (const RouteProblem& it : ValidateRoutes(set)) {
    kinds.push_back(it.kind);
  }
  return kinds;
}

using Problems = std::vector<RouteProblemKind>;

// Guards against rejecting a valid set.
TEST(ValidateRoutesTest, ValidSetHasNoProblem) {
  EXPECT_EQ(Kinds(ValidSet()), Problems());
  RouteSet set = ValidSet();
  set.routes[0].target = WeightedTarget{{{{"s"}, 0}, {{"t"}, 3}}};
  EXPECT_EQ(Kinds(set), Problems());
  set.routes[0].target = ShardedTarget{{{"s"}, {"t"}}, 5, 0.75};
  EXPECT_EQ(Kinds(set), Problems());
}

// Guards against accepting any kind of invalid set.
TEST(ValidateRoutesTest, ReportsEachProblem) {
  RouteSet set = ValidSet();
  set.routes[0].target = SingleTarget{{"unknown"}};
  EXPECT_EQ(Kinds(set), Problems{RouteProblemKind::kUnknownService});

  set = ValidSet();
  set.routes[0].target = ShardedTarget{{{"s"}, {"unknown"}}, 5, 0.75};
  EXPECT_EQ(Kinds(set), Problems{RouteProblemKind::kUnknownService});

  set = ValidSet();
  set.routes.push_back(set.routes[0]);
  EXPECT_EQ(Kinds(set), Problems{RouteProblemKind::kDuplicatePrefix});

  set = ValidSet();
  set.routes[0].target = WeightedTarget{{{{"s"}, 0}, {{"t"}, 0}}};
  EXPECT_EQ(Kinds(set), Problems{RouteProblemKind::kZeroWeight});

  set = ValidSet();
  set.routes[0].timeout = Duration::zero();
  EXPECT_EQ(Kinds(set), Problems{RouteProblemKind::kNoTimeout});

  set = ValidSet();
  set.routes[0].path_prefix = "/p";
  EXPECT_EQ(Kinds(set), Problems{RouteProblemKind::kInvalidPrefix});

  set = ValidSet();
  set.routes[0].target = ShardedTarget{{{"s"}}, 5, 1.5};
  EXPECT_EQ(Kinds(set), Problems{RouteProblemKind::kInvalidCoverage});
}

// Guards against a set that is accepted with invalid organisations, and against
// a problem that names no organisation.
TEST(ValidateRoutesTest, ReportsProblemsOfOrganisations) {
  RouteSet set = ValidSet();
  set.organisations.resize(2);
  set.organisations[0].name = {"a"};
  set.organisations[0].keys = {organisations::HashKey("key")};
  set.organisations[1].name = {"b"};
  EXPECT_EQ(Kinds(set), Problems());
  set.organisations[1].keys = set.organisations[0].keys;
  const std::vector<RouteProblem> problems = ValidateRoutes(set);
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].kind, RouteProblemKind::kInvalidOrganisation);
  EXPECT_EQ(Describe(problems[0]),
            "organisation 'b': organisation 'a' has one of its keys");
}

}  // namespace
}  // namespace gooseberryrock::routes
