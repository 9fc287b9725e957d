// Ownership and expiry of backend servers.
//
// Partitions occur between failure domains, and a server that cannot reach its
// owner announces itself to a node on its side of the partition. A node
// therefore expires a server only while it receives messages from the server's
// failure domain, which would report the server. Without contact, the server
// may be alive on the other side, and "gone" is final for its incarnation. The
// record is kept then, and routing relies on the results of attempts.

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

// A longer pause between messages of a failure domain counts as a loss of
// contact. Two heartbeat intervals of 500 ms.
inline constexpr Duration kContactGap = std::chrono::seconds(1);

// Times of the messages from the nodes of one failure domain.
struct DomainContact {
  // The last message.
  SteadyTime last;
  // The first message after the last loss of contact.
  SteadyTime since;
};

using DomainContacts = std::map<FailureDomain, DomainContact>;

// Handles a message from a node of the failure domain `sender`. It also counts
// as contact with the domain `own` of this node: a node without any messages
// may be isolated itself, and its servers may have moved to another node of its
// domain.
void OnContact(DomainContacts& contacts,
               const FailureDomain& sender,
               const FailureDomain& own,
               SteadyTime now);

// Marks servers owned by `self` as gone if their last announcement is more than
// `expiry` before the last contact with their failure domain. After a loss of
// contact, the period restarts kRepairGrace after contact is restored. Returns
// the changed records. The cost is proportional to the number of servers owned
// by `self`.
std::vector<ServerRecord> ExpireServers(Directory& directory,
                                        const NodeId& self,
                                        const DomainContacts& contacts,
                                        Duration expiry,
                                        SteadyTime now);

// As above, for a node without peers, which requires no contact.
std::vector<ServerRecord> ExpireServers(Directory& directory,
                                        const NodeId& self,
                                        Duration expiry,
                                        SteadyTime now);

// Takes ownership of records whose owner is lost and starts a new expiry period
// for them, if `self` is the live node with the lowest id in the owner's
// failure domain, or of all live nodes if there is none in that domain. `live`
// includes `self`; the domain of a lost node is empty if unknown. Returns the
// changed records.
std::vector<ServerRecord> TakeOverRecords(Directory& directory,
                                          const NodeDomains& live,
                                          const NodeDomains& lost,
                                          const NodeId& self,
                                          SteadyTime now);

// Returns the owners of records that are not in `live`. A restarted node uses
// this to find owners that were lost before it started.
std::vector<NodeId> FindLostOwners(const Directory& directory,
                                   const NodeDomains& live);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_OWNERSHIP_H_
