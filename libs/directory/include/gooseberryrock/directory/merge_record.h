// Order of the records of one backend server.

#ifndef GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_
#define GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::directory {

struct Directory;

// Added to the expiry period when this node becomes the owner without an
// announcement, or regains contact with the server's failure domain. The server
// may announce itself to another node meanwhile; two digest rounds bring that
// news here even when messages are lost.
inline constexpr Duration kRepairGrace = std::chrono::seconds(4);

// Whether `a` is newer than `b`; both describe the same server. A total order:
// (incarnation, state, sequence, owner epoch, owner, hash). A late "ready"
// never brings back a server that drains or has gone, and two nodes that became
// owners at the same time agree on one of them.
bool IsNewer(const ServerRecord& a, const ServerRecord& b);

// Takes over `record` from the node `from` when it is newer than the known one.
// Returns whether the directory changed.
bool MergeRecord(Directory& directory,
                 const ServerRecord& record,
                 const NodeId& from,
                 SteadyTime now);

// Takes over an announcement that reached this node, which becomes the owner of
// the record. Returns whether the directory changed. A repeated announcement
// only renews the record; one of a lower incarnation, an earlier state or a
// lower sequence number is ignored.
bool AcceptAnnouncement(Directory& directory,
                        ServerRecord record,
                        const NodeId& self,
                        SteadyTime now);

// Whether a server that sends `announced` must raise its incarnation to be used
// again: it is known with a higher one, or as gone while it says that it is
// not, for example because it was suspended for longer than the expiry period.
bool NeedsNewIncarnation(const Directory& directory,
                         const ServerRecord& announced);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_
