// A query node: owns the components and serves HTTP.

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
  // Starts serving. Throws HttpError if the address cannot be bound.
  explicit Node(const settings::Settings& settings);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  // Fails the readiness check, waits for the load balancer to notice, refuses
  // new queries and returns when no query is in flight.
  void Drain();

  // Drops all frames from or to `peer`. Used by partition tests.
  void SetPeerBlocked(const NodeId& peer,
                      peer::Direction direction,
                      bool blocked);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_NODE_H_
