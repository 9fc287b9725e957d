// The VMs that take part in the replicated log.

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
  // The random id in the identity file of the VM's data folder. A VM whose
  // data folder holds another id is not a member. Empty only in the initial
  // membership, until the first leader has filled it in.
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

// The membership with which a new cluster starts: voters whose storage ids are
// still unknown. Each VM of a new cluster must start with the same one.
Membership InitialMembership(const std::map<NodeId, std::string>& addresses);

// Whether `voters` suffice to elect a leader or to commit an entry: a majority
// of the voters, or all of them while a storage id is unknown. A VM with an
// empty data folder falls back to the initial membership, and without
// unanimity two such VMs could elect a leader without the committed entries.
bool IsQuorum(const Membership& membership, const std::set<NodeId>& voters);

bool IsVoter(const Membership& membership, const NodeId& node);

// Whether `node` is a member and `storage_id` is the one recorded for it.
bool IsMemberStorage(const Membership& membership,
                     const NodeId& node,
                     const std::string& storage_id);

// Whether the storage id of each voter is known.
bool AllStorageKnown(const Membership& membership);

}  // namespace gooseberryrock::consensus

#endif  // GOOSEBERRYROCK_CONSENSUS_MEMBERSHIP_H_
