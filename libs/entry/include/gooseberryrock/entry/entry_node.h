// A stateless node that serves callers: it forwards their requests to backend
// servers and merges the replies of shards.

#ifndef GOOSEBERRYROCK_ENTRY_ENTRY_NODE_H_
#define GOOSEBERRYROCK_ENTRY_ENTRY_NODE_H_

#include <memory>
#include <vector>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::entry {

struct EntryCodec;
struct EntrySettings;

class EntryNode {
 public:
  // Starts to serve. Throws TransportError or PeerSocketError if an address
  // cannot be used. `codec` must outlive the node.
  EntryNode(const EntrySettings& settings, const EntryCodec& codec);
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;
  ~EntryNode();

  void AddControlVms(const std::vector<NodeId>& nodes);

  // Fails the load balancer's health checks, keeps serving until the balancer
  // has reacted, and returns when no request is in flight or the stop
  // time has nearly elapsed.
  void Drain();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_ENTRY_NODE_H_
