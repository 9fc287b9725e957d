// Handling of frames that synchronise the directories of backend servers.

#include "gooseberryrock/control/directory_frames.h"

#include <string>

#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

namespace {

template <typename Message>
void Send(const FrameSender& send,
          const NodeId& to,
          peer::FrameKind kind,
          const Message& message) {
  send(to, kind, proto::ToMessage(message).SerializeAsString());
}

std::vector<directory::ServerRecord> HandleDelta(
    directory::Directory& directory,
    directory::DirectoryExchange& exchange,
    const peer::PeerFrame& frame,
    const FrameSender& send,
    SteadyTime now) {
  const auto delta =
      proto::FromMessage(proto::Parse<proto::DirectoryDelta>(frame.body));
  if (delta.malformed_records > 0) {
    telemetry::LogEvent(telemetry::LogLevel::kError, "records_malformed",
                        {{"from", frame.sender.value},
                         {"records", std::to_string(delta.malformed_records)}});
  }
  auto changed = directory::MergeDelta(directory, delta, frame.sender, now);
  if (auto pull = directory::OnChangeSpan(
          exchange, frame.sender, frame.incarnation, delta.from, delta.to)) {
    Send(send, frame.sender, peer::FrameKind::kDirectoryPull, *pull);
  }
  return changed;
}

}  // namespace

std::vector<directory::ServerRecord> HandleDirectoryFrame(
    directory::Directory& directory,
    directory::DirectoryExchange& exchange,
    const peer::PeerFrame& frame,
    const FrameSender& send,
    SteadyTime now) {
  const NodeId& from = frame.sender;
  if (frame.kind == peer::FrameKind::kDirectoryDelta) {
    return HandleDelta(directory, exchange, frame, send, now);
  }
  if (frame.kind == peer::FrameKind::kDirectoryDigest) {
    const auto answer = directory::OnDigest(
        directory,
        proto::FromMessage(proto::Parse<proto::DirectoryDigest>(frame.body)));
    if (answer.digest) {
      Send(send, from, peer::FrameKind::kDirectoryDigest, *answer.digest);
    }
    if (answer.pull) {
      Send(send, from, peer::FrameKind::kDirectoryPull, *answer.pull);
    }
  } else if (frame.kind == peer::FrameKind::kDirectoryPull) {
    const auto answer = directory::OnPull(
        directory, exchange, from,
        proto::FromMessage(proto::Parse<proto::DirectoryPull>(frame.body)));
    for (const auto& delta : answer.deltas) {
      Send(send, from, peer::FrameKind::kDirectoryDelta, delta);
    }
    if (answer.pull) {
      Send(send, from, peer::FrameKind::kDirectoryPull, *answer.pull);
    }
  }
  return {};
}

}  // namespace gooseberryrock::control
