// How strictly the allotments of organisations are enforced.

#include "gooseberryrock/allotments/allotment_policy.h"

#include <algorithm>

namespace gooseberryrock::allotments {

namespace {

// The rest of the slack, and all of the overage, cover requests that are
// admitted before news of a flood arrives. Small organisations, whose burst may
// be below 1, need a part of the slack.
constexpr double kSpareSlack = 0.3;

}  // namespace

BucketSize SizeOf(const organisations::Allotment& allotment,
                  const AllotmentPolicy& policy) {
  BucketSize size{allotment.burst, kSpareSlack * policy.slack};
  size.spare = std::max(size.spare, 1 - size.burst);
  return size;
}

}  // namespace gooseberryrock::allotments
