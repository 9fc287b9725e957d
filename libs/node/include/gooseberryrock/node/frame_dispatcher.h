// Dispatches frames from other nodes to the handler for their kind.

#ifndef GOOSEBERRYROCK_NODE_FRAME_DISPATCHER_H_
#define GOOSEBERRYROCK_NODE_FRAME_DISPATCHER_H_

#include <functional>
#include <map>
#include <mutex>

#include "gooseberryrock/peer/frame_kind.h"

namespace gooseberryrock::peer {
struct PeerFrame;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::node {

class FrameDispatcher {
 public:
  using Handler = std::function<void(const peer::PeerFrame&)>;

  // Handlers must not call the dispatcher.
  void Register(peer::FrameKind kind, Handler handler);

  // Calls the handler for the kind of the frame. Frames without a handler and
  // frames with a malformed body are dropped.
  void Dispatch(const peer::PeerFrame& frame);

  // Waits for a running handler. No handler is called after this returns.
  void Close();

 private:
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::map<peer::FrameKind, Handler> handlers_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_FRAME_DISPATCHER_H_
