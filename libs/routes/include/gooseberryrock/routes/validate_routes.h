// Checks a set of routes as a whole.

#ifndef GOOSEBERRYROCK_ROUTES_VALIDATE_ROUTES_H_
#define GOOSEBERRYROCK_ROUTES_VALIDATE_ROUTES_H_

#include <vector>

#include "gooseberryrock/routes/route_problem.h"

namespace gooseberryrock::routes {

struct RouteSet;

// All problems of `set`; empty when it may be put in force. Depends on nothing
// but `set`, so that every node comes to the same verdict.
std::vector<RouteProblem> ValidateRoutes(const RouteSet& set);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_VALIDATE_ROUTES_H_
