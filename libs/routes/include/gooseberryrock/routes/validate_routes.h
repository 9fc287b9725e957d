// Validates a set of routes.

#ifndef GOOSEBERRYROCK_ROUTES_VALIDATE_ROUTES_H_
#define GOOSEBERRYROCK_ROUTES_VALIDATE_ROUTES_H_

#include <vector>

#include "gooseberryrock/routes/route_problem.h"

namespace gooseberryrock::routes {

struct RouteSet;

// Returns all problems of `set`; empty if it is valid. The result depends only
// on `set`, so that every node gets the same result.
std::vector<RouteProblem> ValidateRoutes(const RouteSet& set);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_VALIDATE_ROUTES_H_
