// A node of the query tier: joins the parts and serves HTTP.

#ifndef GOOSEBERRYROCK_NODE_NODE_H_
#define GOOSEBERRYROCK_NODE_NODE_H_

#include <memory>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::peer {
enum class Direction;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::settings {
struct Settings;
}  // namespace gooseberryrock::settings

namespace gooseberryrock::node {

class Node {
 public:
  // Starts to serve. Throws HttpError when the address cannot be used.
  explicit Node(const settings::Settings& settings);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  // Fails the ready check, waits until the balancer has seen it, refuses new
  // queries and returns when none is in flight.
  void Drain();

  // Drops all frames from or to `peer`. For tests that partition nodes.
  void SetPeerBlocked(const NodeId& peer,
                      peer::Direction direction,
                      bool blocked);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_NODE_H_
