// What a control VM knows of the replicated log.

#ifndef GOOSEBERRYROCK_NODE_LOG_STATUS_H_
#define GOOSEBERRYROCK_NODE_LOG_STATUS_H_

#include <cstdint>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/consensus/membership.h"

namespace gooseberryrock::node {

struct LogStatus {
  // Empty when no leader is known.
  NodeId leader;
  uint64_t term = 0;
  uint64_t commit_index = 0;
  consensus::Membership membership;
  // The data folder cannot be used; the VM takes no part in the log.
  bool storage_failed = false;
  // The VM found out that its disk was lost or rolled back.
  bool suspended = false;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_LOG_STATUS_H_
