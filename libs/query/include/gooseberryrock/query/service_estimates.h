// Latency estimates of one service on this node, and the query and admission
// parameters derived from them.

#ifndef GOOSEBERRYROCK_QUERY_SERVICE_ESTIMATES_H_
#define GOOSEBERRYROCK_QUERY_SERVICE_ESTIMATES_H_

#include <array>
#include <cstdint>
#include <optional>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/query/admission.h"
#include "gooseberryrock/query/latency_estimate.h"
#include "gooseberryrock/query/query_policy.h"

namespace gooseberryrock::catalog {
struct ServiceDefinition;
}  // namespace gooseberryrock::catalog

namespace gooseberryrock::query {

struct ServiceEstimates {
  // Time from sending a subquery to its reply, by rank.
  std::array<LatencyEstimate, kRankCount> subquery;
  // Time from the admission of a query to its answer, by rank.
  std::array<LatencyEstimate, kRankCount> query;
  // Moving averages over all ranks; zero before the first sample.
  Duration mean_subquery = Duration::zero();
  Duration mean_query = Duration::zero();
};

void RecordSubqueryTime(ServiceEstimates& estimates,
                        Rank rank,
                        Duration elapsed,
                        SteadyTime now);

void RecordQueryTime(ServiceEstimates& estimates,
                     Rank rank,
                     Duration elapsed,
                     SteadyTime now);

// Parameters derived from the estimates.
struct ServicePolicies {
  AdmissionPolicy admission;
  // Parameters of a query that starts now, by rank.
  std::array<QueryPolicy, kRankCount> query;
  // Time without a reply after which a connection counts as unresponsive, by
  // rank.
  std::array<Duration, kRankCount> silence = {};
  // Empty before the first refresh.
  std::optional<SteadyTime> refreshed_at;
};

// Recomputes `policies` if they are older than a few milliseconds.
// `server_slots` is the total number of slots over all replicas of the shard
// with the fewest.
void RefreshPolicies(ServicePolicies& policies,
                     const catalog::ServiceDefinition& service,
                     const ServiceEstimates& estimates,
                     uint32_t server_slots,
                     uint32_t nodes,
                     SteadyTime now);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SERVICE_ESTIMATES_H_
