// Quorum checks and member lookups.

#include "gooseberryrock/consensus/membership.h"

#include <algorithm>

namespace gooseberryrock::consensus {

Membership InitialMembership(const std::map<NodeId, std::string>& addresses) {
  Membership membership;
  for (const auto& [node, address] : addresses) {
    membership.members[node] = {"", address, /*voter=*/true};
  }
  return membership;
}

bool IsQuorum(const Membership& membership, const std::set<NodeId>& voters) {
  size_t total = 0;
  size_t present = 0;
  for (const auto& [node, member] : membership.members) {
    if (member.voter) {
      ++total;
      present += voters.count(node);
    }
  }
  if (total == 0) {
    return false;
  }
  return AllStorageKnown(membership) ? present > total / 2 : present == total;
}

bool IsVoter(const Membership& membership, const NodeId& node) {
  auto it = membership.members.find(node);
  return it != membership.members.end() && it->second.voter;
}

bool IsMemberStorage(const Membership& membership,
                     const NodeId& node,
                     const std::string& storage_id) {
  auto it = membership.members.find(node);
  return it != membership.members.end() &&
         (it->second.storage_id.empty() || it->second.storage_id == storage_id);
}

bool AllStorageKnown(const Membership& membership) {
  return std::none_of(membership.members.begin(), membership.members.end(),
                      [](const auto& it) {
                        return it.second.voter && it.second.storage_id.empty();
                      });
}

}  // namespace gooseberryrock::consensus
