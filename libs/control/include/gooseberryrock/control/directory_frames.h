// Frames by which nodes keep their directories of backend servers equal.

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

// Takes over a delta, or answers a digest or a pull, of another node. Returns
// the records that changed. Other frames are ignored. Throws
// MalformedMessageError.
std::vector<directory::ServerRecord> HandleDirectoryFrame(
    directory::Directory& directory,
    directory::DirectoryExchange& exchange,
    const peer::PeerFrame& frame,
    const FrameSender& send,
    SteadyTime now);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_DIRECTORY_FRAMES_H_
