// How strictly the allotments of organisations are enforced.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_POLICY_H_
#define GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_POLICY_H_

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/organisations/allotment.h"

namespace gooseberryrock::allotments {

// In any window at most (rate * window + burst) * (1 + overage) + slack
// requests of an organisation are sent to servers.
struct AllotmentPolicy {
  Duration window = std::chrono::seconds(5);
  double overage = 0.1;
  double slack = 20;
};

// A node without a grant halves the share that it may use each time, and
// control VMs halve what they keep for nodes and control VMs that are silent.
// The two must agree, or more than the allotment is used.
inline constexpr double kShareHalfLifeSeconds = 5;

// What a bucket holds: the burst and a part of what overage and slack leave. At
// least one request.
struct BucketSize {
  double burst = 0;
  double spare = 0;

  double Total() const { return burst + spare; }
};

BucketSize SizeOf(const organisations::Allotment& allotment,
                  const AllotmentPolicy& policy);

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_POLICY_H_
