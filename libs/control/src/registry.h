// Registry of announced backend servers, synchronised between all control VMs.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_REGISTRY_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_REGISTRY_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/control/control_call.h"
#include "gooseberryrock/control/directory_frames.h"
#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/peer/frame_kind.h"

namespace gooseberryrock::peer {
struct PeerFrame;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::proto {
class EntryPoll;
class EntryPollReply;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::control {

struct ServerCounts {
  size_t ready = 0;
  size_t draining = 0;
};

// Thread-safe.
class Registry {
 public:
  // `incarnation` identifies this process; change counts restart with each
  // incarnation.
  Registry(NodeId self,
           uint64_t incarnation,
           SteadyTime started_at,
           FrameSender send);

  // Record an announcement or withdrawal and send a change to `peers`
  // immediately.
  void Announce(const directory::ServerRecord& record,
                const std::vector<NodeId>& peers,
                SteadyTime now);
  void Withdraw(const WithdrawCall& call,
                const std::vector<NodeId>& peers,
                SteadyTime now);

  // Handles a delta, digest or pull from another control VM. Throws
  // MalformedMessageError.
  void OnFrame(const peer::PeerFrame& frame, SteadyTime now);
  // Handles the change count in a hello from another control VM.
  void OnSentCount(const peer::PeerFrame& frame, uint64_t count);
  uint64_t SentCount(const NodeId& peer) const;

  // Sends pending deltas and due digests to the other control VMs.
  void Exchange(const std::vector<NodeId>& peers, SteadyTime now);

  // Adds the records that changed since the entry node's previous poll.
  void AnswerPoll(const proto::EntryPoll& poll,
                  proto::EntryPollReply& reply,
                  SteadyTime now) const;

  ServerCounts CountServers() const;

  // Sends `records` to entry nodes until `until`, except those whose servers
  // have announced themselves since this VM started.
  void SetRememberedServers(std::vector<directory::ServerRecord> records,
                            SteadyTime until);
  std::vector<directory::ServerRecord> ReadyServers() const;
  // Increases with each change.
  uint64_t ChangeCount() const;

 private:
  void SendDeltas(const std::vector<NodeId>& peers);

  const NodeId self_;
  const uint64_t incarnation_;
  const SteadyTime started_at_;
  const FrameSender send_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  directory::Directory directory_;
  directory::DirectoryExchange exchange_;
  SteadyTime next_digest_;
  std::vector<directory::ServerRecord> remembered_servers_;
  SteadyTime remembered_servers_until_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_REGISTRY_H_
