// Which node decides that a backend server has gone, and when.
//
// Partitions occur between failure domains, and a server that is cut off from
// its owner announces itself to a node on its own side. A node therefore
// decides expiry only while it hears from the server's failure domain, where
// news of the server would come from. Without contact the server may be alive
// on the other side, and "gone" is final for its incarnation; the record stays
// and the results of attempts decide.

#ifndef GOOSEBERRYROCK_DIRECTORY_OWNERSHIP_H_
#define GOOSEBERRYROCK_DIRECTORY_OWNERSHIP_H_

#include <map>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::directory {

struct Directory;

using NodeDomains = std::map<NodeId, FailureDomain>;

// A pause between the messages of a failure domain that counts as a loss of
// contact: two heartbeats of 500 ms.
inline constexpr Duration kContactGap = std::chrono::seconds(1);

// Messages from the nodes of one failure domain.
struct DomainContact {
  // The last message.
  SteadyTime last;
  // The first message after the last pause of more than kContactGap.
  SteadyTime since;
};

using DomainContacts = std::map<FailureDomain, DomainContact>;

// A message from a node of the failure domain `sender` arrived. It also counts
// as contact with the domain `own` of this node: a node that hears from no
// other may itself be the one that is cut off, and its servers may have moved
// to another node of the same domain.
void OnContact(DomainContacts& contacts,
               const FailureDomain& sender,
               const FailureDomain& own,
               SteadyTime now);

// Marks the servers as gone that `self` owns and that have not announced
// themselves for longer than `expiry` before the last contact with their
// failure domain. When contact is lost for a while, the period starts again
// kRepairGrace after it is back. Returns the changed records. The cost is in
// proportion to the servers that `self` owns.
std::vector<ServerRecord> ExpireServers(Directory& directory,
                                        const NodeId& self,
                                        const DomainContacts& contacts,
                                        Duration expiry,
                                        SteadyTime now);

// Same for a node without peers, which needs no contact.
std::vector<ServerRecord> ExpireServers(Directory& directory,
                                        const NodeId& self,
                                        Duration expiry,
                                        SteadyTime now);

// Takes over the records whose owner is lost and starts a new expiry period for
// them, if `self` is the live node with the lowest id in the owner's failure
// domain, or of all when none is live there. `live` includes `self`; a lost
// node whose failure domain is not known has an empty one. Returns the changed
// records.
std::vector<ServerRecord> AdoptOrphans(Directory& directory,
                                       const NodeDomains& live,
                                       const NodeDomains& lost,
                                       const NodeId& self,
                                       SteadyTime now);

// Owners of records that are not among `live`. A restarted node finds here the
// owners that were lost before it started.
std::vector<NodeId> OwnersWithout(const Directory& directory,
                                  const NodeDomains& live);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_OWNERSHIP_H_
