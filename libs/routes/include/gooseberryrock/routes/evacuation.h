// Failure domains whose servers get no new work because an operator evacuates
// them.

#ifndef GOOSEBERRYROCK_ROUTES_EVACUATION_H_
#define GOOSEBERRYROCK_ROUTES_EVACUATION_H_

#include <cstddef>
#include <cstdint>
#include <set>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::routes {

// Deployments have a few failure domains. Bounds the replies to polls, which
// carry the set, against names that are misspelt again and again.
inline constexpr size_t kMaxEvacuatedDomains = 64;

struct EvacuatedDomains {
  // Incremented with each change of `domains`.
  uint64_t version = 0;
  // Incremented with each applied order, including those without effect.
  uint64_t orders = 0;
  std::set<FailureDomain> domains;

  bool operator==(const EvacuatedDomains&) const = default;
};

enum class EvacuationAction { kStart, kFinish };

struct EvacuationOrder {
  FailureDomain domain;
  EvacuationAction action = EvacuationAction::kStart;
  // `EvacuatedDomains::orders` when the order was given.
  uint64_t orders_before = 0;
};

enum class EvacuationResult {
  // The order holds; it may have held before.
  kApplied,
  // Another order was applied since this one was given. It has no effect: an
  // order that was delayed must not undo a later one.
  kOvertaken,
  kTooManyDomains,
};

EvacuationResult ApplyOrder(EvacuatedDomains& evacuated,
                            const EvacuationOrder& order);

bool IsEvacuated(const EvacuatedDomains& evacuated,
                 const FailureDomain& domain);

// Takes over `other` if it is newer. Returns whether it did.
bool FollowNewer(EvacuatedDomains& evacuated, const EvacuatedDomains& other);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_EVACUATION_H_
