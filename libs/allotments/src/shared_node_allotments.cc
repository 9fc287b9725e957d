// The allotments of an entry node, which its I/O shards share.

#include "gooseberryrock/allotments/shared_node_allotments.h"

namespace gooseberryrock::allotments {

SharedNodeAllotments::SharedNodeAllotments(const AllotmentPolicy& policy,
                                           uint64_t seed)
    : node_(MakeNodeAllotments(policy, seed)) {}

void SharedNodeAllotments::SetLimits(const Limits& limits, SteadyTime now) {
  std::lock_guard lock(mutex_);
  allotments::SetLimits(node_, limits, now);
  active_ = !limits.empty();
}

AllotmentDecision SharedNodeAllotments::Admit(OrganisationHash organisation,
                                              SteadyTime now) {
  if (!active_) {
    return {};
  }
  std::lock_guard lock(mutex_);
  return AdmitRequest(node_, organisation, now);
}

std::optional<AllotmentReport> SharedNodeAllotments::MakeReport() {
  if (!active_) {
    return std::nullopt;
  }
  std::lock_guard lock(mutex_);
  return allotments::MakeReport(node_);
}

void SharedNodeAllotments::Acknowledge(uint64_t report) {
  std::lock_guard lock(mutex_);
  AcknowledgeReport(node_, report);
}

void SharedNodeAllotments::Apply(const AllotmentGrant& grant,
                                 SteadyTime sent_at) {
  std::lock_guard lock(mutex_);
  ApplyGrant(node_, grant, sent_at);
}

}  // namespace gooseberryrock::allotments
