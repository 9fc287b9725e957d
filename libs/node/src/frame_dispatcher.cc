// Dispatches frames from other nodes to the handler for their kind.

#include "gooseberryrock/node/frame_dispatcher.h"

#include <utility>

#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock::node {

void FrameDispatcher::Register(peer::FrameKind kind, Handler handler) {
  std::lock_guard lock(mutex_);
  handlers_[kind] = std::move(handler);
}

void FrameDispatcher::Dispatch(const peer::PeerFrame& frame) {
  std::lock_guard lock(mutex_);
  auto it = handlers_.find(frame.kind);
  if (it == handlers_.end()) {
    return;
  }
  try {
    it->second(frame);
  } catch (const proto::MalformedMessageError& e) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "frame_body_refused",
                        {{"sender", frame.sender.value}, {"error", e.what()}});
  }
}

void FrameDispatcher::Close() {
  std::lock_guard lock(mutex_);
  handlers_.clear();
}

}  // namespace gooseberryrock::node
