// Thrown when a set of routes is invalid.

#ifndef GOOSEBERRYROCK_ROUTES_ROUTE_ERROR_H_
#define GOOSEBERRYROCK_ROUTES_ROUTE_ERROR_H_

#include <string>

#include "gooseberryrock/base/error.h"
#include "gooseberryrock/routes/route_problem.h"

namespace gooseberryrock::routes {

class RouteError : public Error {
 public:
  explicit RouteError(RouteProblem problem)
      : Error(Describe(problem)), problem_(std::move(problem)) {}

  const RouteProblem& problem() const { return problem_; }

 private:
  RouteProblem problem_;
};

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_ROUTE_ERROR_H_
