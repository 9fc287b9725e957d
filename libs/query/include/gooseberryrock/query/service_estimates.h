// What a node has measured of one service, and the parameters of its queries
// that follow from it.

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
  // From sending a subquery to its reply, by rank.
  std::array<LatencyEstimate, kRankCount> subquery;
  // From the start of a query, after its admission, to its answer, by rank.
  std::array<LatencyEstimate, kRankCount> query;
  // Moving estimates over all ranks; zero before the first sample.
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

// Parameters that follow from the estimates.
struct ServicePolicies {
  AdmissionPolicy admission;
  // Of a query that starts now, by rank.
  std::array<QueryPolicy, kRankCount> query;
  // When an unanswered connection counts as silent, by rank.
  std::array<Duration, kRankCount> silence = {};
  // Empty before the first refresh.
  std::optional<SteadyTime> refreshed_at;
};

// Brings `policies` up to date when they are older than a few milliseconds.
// `server_slots` are the slots of the scarcest shard in all its replicas.
void RefreshPolicies(ServicePolicies& policies,
                     const catalog::ServiceDefinition& service,
                     const ServiceEstimates& estimates,
                     uint32_t server_slots,
                     uint32_t nodes,
                     SteadyTime now);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SERVICE_ESTIMATES_H_
