// Admission control for the queries of one service on this node: a query
// starts, waits or is refused. There is one queue per rank, ordered by
// deadline.

#ifndef GOOSEBERRYROCK_QUERY_ADMISSION_H_
#define GOOSEBERRYROCK_QUERY_ADMISSION_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct AdmissionPolicy {
  // Maximum number of concurrently running queries.
  double slots = 1;
  // Minimum share of the starts, in [0, 1], guaranteed to each rank while other
  // ranks overload the service. The floors sum to at most 1.
  std::array<double, kRankCount> floors = {};
  // Maximum share of the slots, in (0, 1], that queries of each rank may hold.
  // The remaining slots stay free, so that urgent queries wait neither for a
  // slot nor in server queues while less urgent ranks are overloaded.
  std::array<double, kRankCount> max_slot_share = {1.0, 0.8, 0.3};
  // Expected run time of a query of each rank. A query with less time left
  // until its deadline is not started.
  std::array<Duration, kRankCount> expected = {};
};

using AdmissionTicket = uint64_t;

struct AdmissionState {
  // Waiting queries by the latest time at which they can still start.
  std::array<std::multimap<SteadyTime, AdmissionTicket>, kRankCount> queues;
  std::array<uint32_t, kRankCount> running = {};
  // Exponentially decayed number of starts by rank, and the time of the last
  // decay.
  std::array<double, kRankCount> starts = {};
  SteadyTime decayed_at;
  // Moving average of the time that a query holds its slot.
  Duration mean_hold_time = std::chrono::milliseconds(20);
};

struct AdmissionRefusal {
  AdmissionTicket ticket = 0;
  // Suggested delay before the caller resends the request.
  Duration retry_after = Duration::zero();
};

struct AdmissionEffects {
  std::vector<AdmissionTicket> start;
  std::vector<AdmissionRefusal> refuse;
  // When to call OnAdmissionTimer() next.
  std::optional<SteadyTime> next_timer;
};

// Handles a new query: it starts, waits, or is refused immediately if its
// estimated wait is too long for an answer by `deadline`.
AdmissionEffects OnQueryArrived(AdmissionState& state,
                                const AdmissionPolicy& policy,
                                Rank rank,
                                AdmissionTicket ticket,
                                SteadyTime deadline,
                                SteadyTime now);

// Releases the slot of an answered query, which held it for `held`.
AdmissionEffects OnQueryEnded(AdmissionState& state,
                              const AdmissionPolicy& policy,
                              Rank rank,
                              Duration held,
                              SteadyTime now);

// Refuses waiting queries that can no longer meet their deadline.
AdmissionEffects OnAdmissionTimer(AdmissionState& state,
                                  const AdmissionPolicy& policy,
                                  SteadyTime now);

// Returns the admission slots of each of `nodes` nodes for a service.
// `server_slots` is the total number of slots over all replicas of the shard
// with the fewest. A query holds its admission slot until its slowest shard has
// answered, but a server slot only for one subquery: `hold_ratio` is the first
// time divided by the second.
double AdmissionSlots(uint32_t server_slots, uint32_t nodes, double hold_ratio);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_ADMISSION_H_
