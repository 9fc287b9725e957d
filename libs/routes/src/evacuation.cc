// Failure domains whose servers get no new work because an operator evacuates
// them.

#include "gooseberryrock/routes/evacuation.h"

namespace gooseberryrock::routes {

EvacuationResult ApplyOrder(EvacuatedDomains& evacuated,
                            const EvacuationOrder& order) {
  if (order.orders_before != evacuated.orders) {
    return EvacuationResult::kOvertaken;
  }
  const bool is_start = order.action == EvacuationAction::kStart;
  const bool changes = is_start != IsEvacuated(evacuated, order.domain);
  if (changes && is_start && evacuated.domains.size() >= kMaxEvacuatedDomains) {
    return EvacuationResult::kTooManyDomains;
  }
  ++evacuated.orders;
  if (!changes) {
    return EvacuationResult::kApplied;
  }
  ++evacuated.version;
  if (is_start) {
    evacuated.domains.insert(order.domain);
  } else {
    evacuated.domains.erase(order.domain);
  }
  return EvacuationResult::kApplied;
}

bool IsEvacuated(const EvacuatedDomains& evacuated,
                 const FailureDomain& domain) {
  return evacuated.domains.contains(domain);
}

bool FollowNewer(EvacuatedDomains& evacuated, const EvacuatedDomains& other) {
  if (other.version <= evacuated.version) {
    return false;
  }
  evacuated = other;
  return true;
}

}  // namespace gooseberryrock::routes
