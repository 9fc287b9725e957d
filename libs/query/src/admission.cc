// Admission control for the queries of one service on this node.

#include "gooseberryrock/query/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gooseberryrock::query {

namespace {

constexpr double kHoldTimeWeight = 0.05;
// Long enough to contain several starts of the rank with the smallest floor,
// and short enough to follow a burst.
constexpr Duration kStartsHalfLife = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr double kMinServedShare = 0.02;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

uint32_t TotalRunning(const AdmissionState& state) {
  return std::accumulate(state.running.begin(), state.running.end(), 0U);
}

double TotalStarts(const AdmissionState& state) {
  return std::accumulate(state.starts.begin(), state.starts.end(), 0.0);
}

void DecayStarts(AdmissionState& state, SteadyTime now) {
  const double factor =
      std::exp2(-Seconds(now - state.decayed_at) / Seconds(kStartsHalfLife));
  for (double& starts : state.starts) {
    starts *= factor;
  }
  state.decayed_at = now;
}

double SlotLimit(const AdmissionPolicy& policy, size_t rank) {
  return std::max(1.0, policy.slots * policy.max_slot_share[rank]);
}

bool IsBelowFloor(const AdmissionState& state,
                  const AdmissionPolicy& policy,
                  size_t rank) {
  // Floors are shares of the capacity, and starts stay 5% to 10% below it.
  constexpr double kMargin = 1.15;
  return state.starts[rank] <
         kMargin * policy.floors[rank] * TotalStarts(state);
}

bool CanStart(const AdmissionState& state,
              const AdmissionPolicy& policy,
              size_t rank) {
  if (TotalRunning(state) + 1 > std::lround(std::max(1.0, policy.slots))) {
    return false;
  }
  // The slot limit of a rank must not keep it below its floor.
  return IsBelowFloor(state, policy, rank) ||
         state.running[rank] + 1 <= std::lround(SlotLimit(policy, rank));
}

void RecordStart(AdmissionState& state, size_t rank) {
  ++state.running[rank];
  state.starts[rank] += 1;
}

// Returns the lower of two estimates: waiting for the capacity that more urgent
// ranks leave, and waiting for the rank's own floor.
Duration EstimateWait(const AdmissionState& state,
                      const AdmissionPolicy& policy,
                      size_t rank) {
  const double total = TotalStarts(state);
  double more_urgent = 0;
  double ahead = 1;
  for (size_t i = 0; i < rank; ++i) {
    more_urgent += state.starts[i];
    ahead += static_cast<double>(state.queues[i].size());
  }
  const double own = static_cast<double>(state.queues[rank].size());
  const double left = total > 0 ? 1 - more_urgent / total : 1;
  const double rate = SlotLimit(policy, rank) / Seconds(state.mean_hold_time);
  const double floor_rate =
      std::max(1.0, policy.slots) / Seconds(state.mean_hold_time);
  const double after_urgent =
      (ahead + own) / (rate * std::max(left, kMinServedShare));
  const double from_floor =
      (1 + own) / (floor_rate * std::max(policy.floors[rank], kMinServedShare));
  return FromSeconds(std::min(after_urgent, from_floor));
}

Duration RetryAfter(Duration wait) {
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

// Returns the next rank to start: ranks below their floor first, then the most
// urgent one.
std::optional<size_t> NextRank(const AdmissionState& state,
                               const AdmissionPolicy& policy) {
  std::optional<size_t> most_urgent;
  for (size_t i = 0; i < kRankCount; ++i) {
    if (state.queues[i].empty() || !CanStart(state, policy, i)) {
      continue;
    }
    if (IsBelowFloor(state, policy, i)) {
      return i;
    }
    if (!most_urgent) {
      most_urgent = i;
    }
  }
  return most_urgent;
}

void RefuseExpired(AdmissionState& state,
                   const AdmissionPolicy& policy,
                   SteadyTime now,
                   AdmissionEffects& effects) {
  for (size_t i = 0; i < kRankCount; ++i) {
    auto& queue = state.queues[i];
    while (!queue.empty() && queue.begin()->first <= now) {
      effects.refuse.push_back(
          {queue.begin()->second, RetryAfter(EstimateWait(state, policy, i))});
      queue.erase(queue.begin());
    }
  }
}

void Advance(AdmissionState& state,
             const AdmissionPolicy& policy,
             SteadyTime now,
             AdmissionEffects& effects) {
  DecayStarts(state, now);
  RefuseExpired(state, policy, now, effects);
  while (const auto rank = NextRank(state, policy)) {
    auto& queue = state.queues[*rank];
    effects.start.push_back(queue.begin()->second);
    queue.erase(queue.begin());
    RecordStart(state, *rank);
  }
  for (const auto& queue : state.queues) {
    if (!queue.empty() &&
        (!effects.next_timer || queue.begin()->first < *effects.next_timer)) {
      effects.next_timer = queue.begin()->first;
    }
  }
}

}  // namespace

AdmissionEffects OnQueryArrived(AdmissionState& state,
                                const AdmissionPolicy& policy,
                                Rank rank,
                                AdmissionTicket ticket,
                                SteadyTime deadline,
                                SteadyTime now) {
  AdmissionEffects effects;
  const size_t i = RankIndex(rank);
  const SteadyTime latest_start = deadline - policy.expected[i];
  DecayStarts(state, now);
  const bool free = state.queues[i].empty() && CanStart(state, policy, i);
  const Duration wait =
      free ? Duration::zero() : EstimateWait(state, policy, i);
  if (now + wait > latest_start) {
    effects.refuse.push_back({ticket, RetryAfter(wait)});
  } else {
    state.queues[i].emplace(latest_start, ticket);
  }
  Advance(state, policy, now, effects);
  return effects;
}

AdmissionEffects OnQueryEnded(AdmissionState& state,
                              const AdmissionPolicy& policy,
                              Rank rank,
                              Duration held,
                              SteadyTime now) {
  AdmissionEffects effects;
  --state.running[RankIndex(rank)];
  state.mean_hold_time += std::chrono::duration_cast<Duration>(
      kHoldTimeWeight * (held - state.mean_hold_time));
  state.mean_hold_time =
      std::max<Duration>(state.mean_hold_time, std::chrono::microseconds(100));
  Advance(state, policy, now, effects);
  return effects;
}

AdmissionEffects OnAdmissionTimer(AdmissionState& state,
                                  const AdmissionPolicy& policy,
                                  SteadyTime now) {
  AdmissionEffects effects;
  Advance(state, policy, now, effects);
  return effects;
}

double AdmissionSlots(uint32_t server_slots,
                      uint32_t nodes,
                      double hold_ratio) {
  // Nodes do not know each other's load. The headroom lets a burst at one node
  // use slots that the others leave free.
  constexpr double kHeadroom = 1.8;
  const double share = static_cast<double>(server_slots) /
                       static_cast<double>(std::max(nodes, 1U));
  return std::max(1.0, share * std::clamp(hold_ratio, 1.0, 4.0) * kHeadroom);
}

}  // namespace gooseberryrock::query
