// Latency estimates of one service and the parameters derived from them.

#include "gooseberryrock/query/service_estimates.h"

#include <algorithm>

#include "gooseberryrock/catalog/service_definition.h"
#include "gooseberryrock/query/connection_health.h"

namespace gooseberryrock::query {

namespace {

constexpr double kMeanWeight = 0.02;
// At p95, hedges of normal operation alone would use up the budget of 5% of the
// attempts and leave none for a slow server.
constexpr double kHedgeQuantile = 0.98;
constexpr double kSilenceQuantile = 0.99;
// Computing the quantiles scans all histogram bins, which takes microseconds;
// the result changes little within this time.
constexpr Duration kRefreshPeriod = std::chrono::milliseconds(20);
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(2);
// In an overload, all queries start at the last possible moment. A high
// quantile prevents starting queries that miss their deadline and waste server
// time.
constexpr double kExpectedQuantile = 0.99;

void UpdateMean(Duration& mean, Duration sample) {
  if (mean == Duration::zero()) {
    mean = sample;
    return;
  }
  mean += std::chrono::duration_cast<Duration>(kMeanWeight * (sample - mean));
}

double HoldRatio(const ServiceEstimates& estimates) {
  if (estimates.mean_subquery <= Duration::zero()) {
    return 1;
  }
  const std::chrono::duration<double> query = estimates.mean_query;
  const std::chrono::duration<double> subquery = estimates.mean_subquery;
  return query / subquery;
}

QueryPolicy MakeQueryPolicy(const catalog::ServiceDefinition& service,
                            const ServiceEstimates& estimates,
                            Rank rank) {
  const size_t i = RankIndex(rank);
  const catalog::RankPolicy& rank_policy = service.rank_policies[i];
  QueryPolicy policy;
  if (rank_policy.hedging) {
    if (const auto tail =
            LatencyQuantile(estimates.subquery[i], kHedgeQuantile)) {
      policy.hedge_delay = std::max(*tail, kMinHedgeDelay);
    }
  }
  if (!rank_policy.prefer_coverage) {
    policy.partial_answer_after = rank_policy.target_latency;
  }
  return policy;
}

AdmissionPolicy MakeAdmissionPolicy(const catalog::ServiceDefinition& service,
                                    const ServiceEstimates& estimates,
                                    uint32_t server_slots,
                                    uint32_t nodes) {
  AdmissionPolicy policy;
  policy.slots = AdmissionSlots(server_slots, nodes, HoldRatio(estimates));
  for (size_t i = 0; i < kRankCount; ++i) {
    policy.floors[i] = service.rank_policies[i].floor_share;
    policy.expected[i] = LatencyQuantile(estimates.query[i], kExpectedQuantile)
                             .value_or(Duration::zero());
  }
  return policy;
}

}  // namespace

void RecordSubqueryTime(ServiceEstimates& estimates,
                        Rank rank,
                        Duration elapsed,
                        SteadyTime now) {
  RecordLatency(estimates.subquery[RankIndex(rank)], elapsed, now);
  UpdateMean(estimates.mean_subquery, elapsed);
}

void RecordQueryTime(ServiceEstimates& estimates,
                     Rank rank,
                     Duration elapsed,
                     SteadyTime now) {
  RecordLatency(estimates.query[RankIndex(rank)], elapsed, now);
  UpdateMean(estimates.mean_query, elapsed);
}

void RefreshPolicies(ServicePolicies& policies,
                     const catalog::ServiceDefinition& service,
                     const ServiceEstimates& estimates,
                     uint32_t server_slots,
                     uint32_t nodes,
                     SteadyTime now) {
  if (policies.refreshed_at && now - *policies.refreshed_at < kRefreshPeriod) {
    return;
  }
  policies.refreshed_at = now;
  policies.admission =
      MakeAdmissionPolicy(service, estimates, server_slots, nodes);
  for (const Rank rank : kAllRanks) {
    const size_t i = RankIndex(rank);
    policies.query[i] = MakeQueryPolicy(service, estimates, rank);
    policies.silence[i] = SilenceTimeout(
        {}, LatencyQuantile(estimates.subquery[i], kSilenceQuantile));
  }
}

}  // namespace gooseberryrock::query
