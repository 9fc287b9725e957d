// Which queries of one service start on this node, wait or are refused. There
// is one queue for each rank, ordered by deadline.

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
  // Queries that run at the same time.
  double slots = 1;
  // Share of the starts, in [0, 1], that each rank keeps while others flood
  // the service. The floors sum to at most 1.
  std::array<double, kRankCount> floors = {};
  // Part of the slots, in (0, 1], that queries of each rank may hold. The rest
  // stays free, so that urgent work waits neither for a slot nor at the servers
  // during an overload by less urgent work.
  std::array<double, kRankCount> fill = {1.0, 0.8, 0.3};
  // Time that a started query of each rank is expected to take. A query with
  // less time left is not started.
  std::array<Duration, kRankCount> expected = {};
};

using AdmissionTicket = uint64_t;

struct AdmissionState {
  // Waiting queries by their latest useful start.
  std::array<std::multimap<SteadyTime, AdmissionTicket>, kRankCount> queues;
  std::array<uint32_t, kRankCount> running = {};
  // Decaying count of starts by rank, and when it was decayed last.
  std::array<double, kRankCount> starts = {};
  SteadyTime decayed_at;
  // Moving estimate of the time that a query holds its slot.
  Duration mean_hold = std::chrono::milliseconds(20);
};

struct AdmissionRefusal {
  AdmissionTicket ticket = 0;
  // When it makes sense to send the request again.
  Duration retry_after = Duration::zero();
};

struct AdmissionEffects {
  std::vector<AdmissionTicket> start;
  std::vector<AdmissionRefusal> refuse;
  // When to call OnAdmissionTimer() next.
  std::optional<SteadyTime> next_timer;
};

// A query arrives. It starts, waits, or is refused at once when the present
// estimate says that it cannot be answered by `deadline`.
AdmissionEffects OnQueryArrived(AdmissionState& state,
                                const AdmissionPolicy& policy,
                                Rank rank,
                                AdmissionTicket ticket,
                                SteadyTime deadline,
                                SteadyTime now);

// A started query has been answered after it held its slot for `held`.
AdmissionEffects OnQueryEnded(AdmissionState& state,
                              const AdmissionPolicy& policy,
                              Rank rank,
                              Duration held,
                              SteadyTime now);

// Refuses the waiting queries that can no longer be answered in time.
AdmissionEffects OnAdmissionTimer(AdmissionState& state,
                                  const AdmissionPolicy& policy,
                                  SteadyTime now);

// Slots of one of `nodes` nodes for a service whose scarcest shard has
// `server_slots` slots in all its replicas. A query keeps its slot until its
// slowest shard has answered, a server only for one subquery: `hold_ratio` is
// the first time divided by the second.
double AdmissionSlots(uint32_t server_slots, uint32_t nodes, double hold_ratio);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_ADMISSION_H_
