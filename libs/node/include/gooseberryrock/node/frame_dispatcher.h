// Hands frames from other nodes to the parts of the node.

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

  // Calls the handler of the frame's kind. A frame without a handler and one
  // whose body is malformed are dropped.
  void Dispatch(const peer::PeerFrame& frame);

  // Waits for a running handler; no handler is called afterwards.
  void Close();

 private:
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::map<peer::FrameKind, Handler> handlers_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_FRAME_DISPATCHER_H_
