// Orders and merges the records of one backend server.

#ifndef GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_
#define GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::directory {

struct Directory;

// Added to the expiry period when this node becomes the owner without an
// announcement, or regains contact with the server's failure domain. The server
// may have announced itself to another node in the meantime; two digest rounds
// deliver that change even if messages are lost.
inline constexpr Duration kRepairGrace = std::chrono::seconds(4);

// Returns whether `a` is newer than `b`, where both describe the same server.
// The order is total: (incarnation, state, sequence, owner epoch, owner, hash).
// A late "ready" therefore never restores a draining or gone server, and two
// nodes that become owner at the same time agree on one of them.
bool IsNewer(const ServerRecord& a, const ServerRecord& b);

// Stores `record`, received from the node `from`, if it is newer than the known
// one. Returns whether the directory changed.
bool MergeRecord(Directory& directory,
                 const ServerRecord& record,
                 const NodeId& from,
                 SteadyTime now);

// Stores an announcement received by this node, which becomes the owner of the
// record. Returns whether the directory changed. A repeated announcement only
// renews the record; one with a lower incarnation, an earlier state or a lower
// sequence number is ignored.
bool AcceptAnnouncement(Directory& directory,
                        ServerRecord record,
                        const NodeId& self,
                        SteadyTime now);

// Returns whether the server that announced itself must increment its
// incarnation to be used again: it is known with a higher one, or it is
// recorded as gone but announces another state, for example because it was
// suspended for longer than the expiry period.
bool NeedsNewIncarnation(const Directory& directory,
                         const ServerRecord& announced);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_
