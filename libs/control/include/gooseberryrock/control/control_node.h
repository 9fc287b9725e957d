// Control VM process. Stores the routes in the replicated log, tracks backend
// servers by their announcements, and publishes changes to the entry nodes.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_NODE_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_NODE_H_

#include <memory>
#include <vector>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::control {

struct ControlCodec;
struct ControlSettings;

class ControlNode {
 public:
  // Starts serving. Throws TransportError, PeerSocketError or StorageError.
  // `codec` must outlive the node.
  ControlNode(const ControlSettings& settings, const ControlCodec& codec);
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;
  ~ControlNode();

  void AddControlVms(const std::vector<NodeId>& nodes);

  // Transfers leadership and completes the calls in progress.
  void Drain();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_NODE_H_
