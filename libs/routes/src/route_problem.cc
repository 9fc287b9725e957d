// Problems of an invalid set of routes.

#include "gooseberryrock/routes/route_problem.h"

namespace gooseberryrock::routes {

std::string Describe(const RouteProblem& problem) {
  return problem.route.empty()
             ? problem.detail
             : "route '" + problem.route + "': " + problem.detail;
}

}  // namespace gooseberryrock::routes
