// How strictly the allotments of organisations are enforced.

#include "gooseberryrock/allotments/allotment_policy.h"

#include <algorithm>

namespace gooseberryrock::allotments {

namespace {

// The rest of overage and slack covers requests that are admitted before news
// of a flood arrives. Small organisations, whose burst may be below 1, need the
// slack; large ones need the overage for that news.
constexpr double kSpareSlack = 0.5;
constexpr double kSpareOverage = 0.05;

}  // namespace

BucketSize SizeOf(const organisations::Allotment& allotment,
                  const AllotmentPolicy& policy) {
  const double window = std::chrono::duration<double>(policy.window).count();
  const double overage =
      policy.overage *
      (allotment.requests_per_second * window + allotment.burst);
  BucketSize size{allotment.burst,
                  kSpareOverage * overage + kSpareSlack * policy.slack};
  size.spare = std::max(size.spare, 1 - size.burst);
  return size;
}

}  // namespace gooseberryrock::allotments
