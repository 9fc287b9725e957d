// Recovery of a replicated log that has lost its majority for good.

#ifndef GOOSEBERRYROCK_CONTROL_LOG_RECOVERY_H_
#define GOOSEBERRYROCK_CONTROL_LOG_RECOVERY_H_

#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/consensus/log_entry.h"
#include "gooseberryrock/consensus/membership.h"

namespace gooseberryrock::control {

// The log on the disk of a VM that does not run.
struct StoredLog {
  // Index 0 if the VM holds no entry.
  consensus::Position last;
  consensus::Membership membership;
};

// Throws StorageError if the folder cannot be read or belongs to another VM.
StoredLog ReadStoredLog(const std::string& data_folder,
                        const std::string& cluster,
                        const NodeId& node);

// Makes `node` the only voter of the log in its folder and returns the new end
// of the log. The VM must not run. Entries that only other VMs hold are given
// up, and those VMs must not be started again with their disks. Throws
// StorageError, also if the folder holds no entry.
StoredLog MakeSoleVoter(const std::string& data_folder,
                        const std::string& cluster,
                        const NodeId& node);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_LOG_RECOVERY_H_
