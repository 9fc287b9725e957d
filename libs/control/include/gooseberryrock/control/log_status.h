// Status of the replicated log on a control VM.

#ifndef GOOSEBERRYROCK_CONTROL_LOG_STATUS_H_
#define GOOSEBERRYROCK_CONTROL_LOG_STATUS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/membership.h"

namespace gooseberryrock::control {

struct LogStatus {
  // Empty if unknown.
  NodeId leader;
  uint64_t term = 0;
  // Last time at which this VM held the leader lease or received a message from
  // the leader.
  std::optional<SteadyTime> contact_at;
  uint64_t commit_index = 0;
  consensus::Membership membership;
  // The members that lack few entries; empty unless this VM is the leader.
  std::set<NodeId> caught_up;
  // The data folder is unusable; the VM does not participate in the log.
  bool storage_failed = false;
  // The VM has detected that its disk was lost or rolled back.
  bool suspended = false;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_LOG_STATUS_H_
