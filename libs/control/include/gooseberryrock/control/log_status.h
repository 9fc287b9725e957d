// What a control VM knows of the replicated log.

#ifndef GOOSEBERRYROCK_CONTROL_LOG_STATUS_H_
#define GOOSEBERRYROCK_CONTROL_LOG_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/membership.h"

namespace gooseberryrock::control {

struct LogStatus {
  // Empty when no leader is known.
  NodeId leader;
  uint64_t term = 0;
  // This VM leads with a lease, or heard from the leader, at that time last.
  std::optional<SteadyTime> contact_at;
  uint64_t commit_index = 0;
  consensus::Membership membership;
  // The data folder cannot be used; the VM takes no part in the log.
  bool storage_failed = false;
  // The VM found out that its disk was lost or rolled back.
  bool suspended = false;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_LOG_STATUS_H_
