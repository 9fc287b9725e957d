// A control VM: keeps the routes in the replicated log, knows the backend
// servers from their announcements, and tells the entry nodes what changed.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_NODE_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_NODE_H_

#include <memory>
#include <vector>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::control {

struct ControlDialect;
struct ControlSettings;

class ControlNode {
 public:
  // Starts to serve. Throws TransportError, PeerSocketError or StorageError.
  // `dialect` outlives the node.
  ControlNode(const ControlSettings& settings, const ControlDialect& dialect);
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;
  ~ControlNode();

  void AddControlVms(const std::vector<NodeId>& nodes);

  // Hands the leadership on and finishes the calls in progress.
  void Drain();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_NODE_H_
