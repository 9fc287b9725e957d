// Handling of frames that synchronise the directories of backend servers.

#ifndef GOOSEBERRYROCK_CONTROL_DIRECTORY_FRAMES_H_
#define GOOSEBERRYROCK_CONTROL_DIRECTORY_FRAMES_H_

#include <functional>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/peer/frame_kind.h"

namespace gooseberryrock::directory {
struct Directory;
struct DirectoryExchange;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::peer {
struct PeerFrame;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::control {

using FrameSender =
    std::function<void(const NodeId&, peer::FrameKind, std::string body)>;

// Handles a directory frame of another node: merges a delta, or answers a
// digest or a pull. Returns the changed records. Ignores frames of other kinds.
// Throws MalformedMessageError.
std::vector<directory::ServerRecord> HandleDirectoryFrame(
    directory::Directory& directory,
    directory::DirectoryExchange& exchange,
    const peer::PeerFrame& frame,
    const FrameSender& send,
    SteadyTime now);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_DIRECTORY_FRAMES_H_
