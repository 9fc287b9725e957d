// Validates a set of routes.

#include "gooseberryrock/routes/validate_routes.h"

#include <set>
#include <string>
#include <utility>

#include "gooseberryrock/organisations/validate_organisations.h"
#include "gooseberryrock/routes/route_set.h"

namespace gooseberryrock::routes {

namespace {

struct Validator {
  const RouteSet& set;
  std::vector<RouteProblem> problems;
  std::set<std::pair<std::string, std::string>> prefixes_seen;

  void Add(const Route& route, RouteProblemKind kind, std::string detail) {
    problems.push_back({kind, route.name, std::move(detail)});
  }

  void CheckService(const Route& route, const ServiceName& service) {
    if (!set.services.contains(service)) {
      Add(route, RouteProblemKind::kUnknownService,
          "unknown service '" + service.value + "'");
    }
  }

  void CheckTarget(const Route& route, const SingleTarget& target) {
    CheckService(route, target.service);
  }

  void CheckTarget(const Route& route, const WeightedTarget& target) {
    uint64_t total = 0;
    for (const WeightedService& it : target.services) {
      CheckService(route, it.service);
      total += it.weight;
    }
    if (total == 0) {
      Add(route, RouteProblemKind::kZeroWeight, "the weights add up to 0");
    }
  }

  void CheckTarget(const Route& route, const ShardedTarget& target) {
    for (const ServiceName& it : target.shards) {
      CheckService(route, it);
    }
    if (target.shards.empty()) {
      Add(route, RouteProblemKind::kUnknownService, "no shard is named");
    }
    if (!(target.minimum_coverage >= 0 && target.minimum_coverage <= 1)) {
      Add(route, RouteProblemKind::kInvalidCoverage,
          "the least coverage must be between 0 and 1");
    }
  }

  void CheckRoute(const Route& route) {
    const std::string& prefix = route.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
      Add(route, RouteProblemKind::kInvalidPrefix,
          "the path prefix must begin and end with a slash");
    }
    if (!prefixes_seen.emplace(route.host, prefix).second) {
      Add(route, RouteProblemKind::kDuplicatePrefix,
          "another route has the same host and path prefix");
    }
    if (route.timeout <= Duration::zero()) {
      Add(route, RouteProblemKind::kNoTimeout, "the timeout must be above 0");
    }
    if (route.attempts == 0) {
      Add(route, RouteProblemKind::kNoAttempts,
          "at least one attempt is needed");
    }
    std::visit([&](const auto& it) { CheckTarget(route, it); }, route.target);
  }
};

}  // namespace

std::vector<RouteProblem> ValidateRoutes(const RouteSet& set) {
  Validator validator{set, {}, {}};
  for (const Route& route : set.routes) {
    validator.CheckRoute(route);
  }
  for (const organisations::OrganisationProblem& it :
       organisations::ValidateOrganisations(set.organisations)) {
    validator.problems.push_back(
        {RouteProblemKind::kInvalidOrganisation, "",
         "organisation '" + it.organisation.value + "': " + it.detail});
  }
  return std::move(validator.problems);
}

}  // namespace gooseberryrock::routes
