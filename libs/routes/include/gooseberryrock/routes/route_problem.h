// Why a set of routes is refused.

#ifndef GOOSEBERRYROCK_ROUTES_ROUTE_PROBLEM_H_
#define GOOSEBERRYROCK_ROUTES_ROUTE_PROBLEM_H_

#include <string>

namespace gooseberryrock::routes {

enum class RouteProblemKind {
  // The text cannot be read in full.
  kMalformed,
  kUnknownService,
  kDuplicatePlace,
  kNoWeight,
  kNoTimeout,
  kNoAttempts,
  kInvalidPrefix,
  kInvalidCoverage,
};

struct RouteProblem {
  RouteProblemKind kind = RouteProblemKind::kMalformed;
  // The route that has the problem; empty when it is not of one route.
  std::string route;
  std::string detail;
};

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_PROBLEM_H_
