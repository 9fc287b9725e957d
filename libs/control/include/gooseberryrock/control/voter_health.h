// How many losses the replicated log still tolerates, as one control VM sees
// it.

#ifndef GOOSEBERRYROCK_CONTROL_VOTER_HEALTH_H_
#define GOOSEBERRYROCK_CONTROL_VOTER_HEALTH_H_

#include <cstddef>
#include <map>
#include <string>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::control {

struct MembershipView;
struct RepairPolicy;

enum class VoterState {
  kPresent,
  // Sends no hellos.
  kSilent,
  // Sends hellos, but its disk is not the one that it joined the log with.
  kOtherDisk,
};

struct VoterHealth {
  // Empty if this VM does not know the membership.
  std::map<NodeId, VoterState> voters;
  size_t present_learners = 0;

  bool operator==(const VoterHealth&) const = default;
};

VoterHealth AssessVoters(const MembershipView& view,
                         const RepairPolicy& policy);

size_t CountPresent(const VoterHealth& health);

// Number of present voters whose loss would leave a majority of the voters
// present; negative if there is no majority now.
int ToleratedLosses(const VoterHealth& health);

// Returns the voters that are not present, with the reason, for a log line:
// "10.0.0.1:silent,10.0.0.2:other_disk".
std::string MissingVoters(const VoterHealth& health);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_VOTER_HEALTH_H_
