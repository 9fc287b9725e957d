// A node that serves callers: forwards their requests to backend servers and
// gathers the answers of shards. It keeps nothing on disk.

#ifndef GOOSEBERRYROCK_ENTRY_ENTRY_NODE_H_
#define GOOSEBERRYROCK_ENTRY_ENTRY_NODE_H_

#include <memory>
#include <vector>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::entry {

struct Dialect;
struct EntrySettings;

class EntryNode {
 public:
  // Starts to serve. Throws TransportError or PeerSocketError when an address
  // cannot be used. `dialect` outlives the node.
  EntryNode(const EntrySettings& settings, const Dialect& dialect);
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;
  ~EntryNode();

  void AddControlVms(const std::vector<NodeId>& nodes);

  // Fails the balancer's check, serves until the balancer has seen it, and
  // returns when no request is open or the stop time has nearly passed.
  void Drain();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_ENTRY_NODE_H_
