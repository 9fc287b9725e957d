// The allotments of an entry node, which its I/O shards share.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_SHARED_NODE_ALLOTMENTS_H_
#define GOOSEBERRYROCK_ALLOTMENTS_SHARED_NODE_ALLOTMENTS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>

#include "gooseberryrock/allotments/node_allotments.h"

namespace gooseberryrock::allotments {

class SharedNodeAllotments {
 public:
  SharedNodeAllotments(const AllotmentPolicy& policy, uint64_t seed);

  // As the functions of node_allotments.h.
  void SetLimits(const Limits& limits, SteadyTime now);
  AllotmentDecision Admit(OrganisationHash organisation, SteadyTime now);
  // Empty while no organisation has an allotment.
  std::optional<AllotmentReport> MakeReport();
  void Acknowledge(uint64_t report);
  void Apply(const AllotmentGrant& grant, SteadyTime sent_at);

 private:
  // Whether an organisation has an allotment.
  std::atomic<bool> active_ = false;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  NodeAllotments node_;
};

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_SHARED_NODE_ALLOTMENTS_H_
