// Problems of an invalid set of routes.

#ifndef GOOSEBERRYROCK_ROUTES_ROUTE_PROBLEM_H_
#define GOOSEBERRYROCK_ROUTES_ROUTE_PROBLEM_H_

#include <string>

namespace gooseberryrock::routes {

enum class RouteProblemKind {
  // The text cannot be parsed.
  kMalformed,
  kUnknownService,
  kDuplicatePrefix,
  kZeroWeight,
  kNoTimeout,
  kNoAttempts,
  kInvalidPrefix,
  kInvalidCoverage,
  kInvalidOrganisation,
};

struct RouteProblem {
  RouteProblemKind kind = RouteProblemKind::kMalformed;
  // The affected route; empty if the problem concerns the whole set.
  std::string route;
  std::string detail;
};

// Returns the problem as a text for operators.
std::string Describe(const RouteProblem& problem);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_PROBLEM_H_
