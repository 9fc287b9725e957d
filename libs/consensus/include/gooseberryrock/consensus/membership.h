// Members of the consensus group.

#ifndef GOOSEBERRYROCK_CONSENSUS_MEMBERSHIP_H_
#define GOOSEBERRYROCK_CONSENSUS_MEMBERSHIP_H_

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::consensus {

struct Member {
  // Random id from the identity file in the VM's data folder. A VM whose data
  // folder has another id is not a member. Empty only in the initial
  // membership, until the first leader sets it.
  std::string storage_id;
  std::string peer_address;
  // False for a learner, which receives the log but has no vote.
  bool voter = false;

  auto operator<=>(const Member&) const = default;
};

struct Membership {
  std::map<NodeId, Member> members;

  auto operator<=>(const Membership&) const = default;
};

// Returns the membership of a new cluster: all voters, with storage ids still
// unknown. All VMs of a new cluster must start with the same membership.
Membership InitialMembership(const std::map<NodeId, std::string>& addresses);

// Returns whether `voters` form a quorum: a majority of the voters, or all of
// them while any storage id is unknown. A VM with an empty data folder falls
// back to the initial membership; without the unanimity rule, two such VMs
// could elect a leader that lacks committed entries.
bool IsQuorum(const Membership& membership, const std::set<NodeId>& voters);

bool IsVoter(const Membership& membership, const NodeId& node);

// Returns whether `node` is a member and `storage_id` matches its record.
bool IsMemberStorage(const Membership& membership,
                     const NodeId& node,
                     const std::string& storage_id);

// Returns whether the storage ids of all voters are known.
bool AllStorageKnown(const Membership& membership);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_MEMBERSHIP_H_
