// Order of the records of one backend server.

#ifndef GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_
#define GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::directory {

struct Directory;

// Whether `a` is newer than `b`; both describe the same server. Ordered by
// (incarnation, state, sequence, owner epoch), so that a late "ready" never
// brings back a server that drains or has gone.
bool IsNewer(const ServerRecord& a, const ServerRecord& b);

// Takes over `record` from another node when it is newer than the known one.
// Returns whether the directory changed.
bool MergeRecord(Directory& directory,
                 const ServerRecord& record,
                 SteadyTime now);

// Takes over an announcement that reached this node, which becomes the owner of
// the record. Returns whether the directory changed; a repeated announcement
// only renews the record.
bool AcceptAnnouncement(Directory& directory,
                        ServerRecord record,
                        const NodeId& self,
                        SteadyTime now);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_MERGE_RECORD_H_
