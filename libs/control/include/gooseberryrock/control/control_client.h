// Client for calls to the replicated log from any node. Finds the leader,
// forwards the call to it and returns the reply.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_CLIENT_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_CLIENT_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "peer.pb.h"

namespace gooseberryrock::peer {
struct PeerProcess;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::control {

class ReplicatedLog;
struct SubmitResult;

enum class CallStatus {
  kDone,
  // The call was not executed.
  kNotRun,
  // The call may have been executed; it is safe to repeat it with the same ids.
  kUnknown,
};

struct CallResult {
  CallStatus status = CallStatus::kNotRun;
  // Set for kDone.
  proto::ForwardReply reply;
};

struct ControlClientOptions {
  NodeId self;
  // All control VMs.
  std::vector<NodeId> control_nodes;
};

class ControlClient {
 public:
  using RequestSender =
      std::function<void(const NodeId& to, const proto::ForwardRequest&)>;
  using ReplySender = std::function<void(const peer::PeerProcess& to,
                                         const proto::ForwardReply&)>;
  // Handles a read call; returns an encoded ForwardReply.
  using Reader = std::function<std::string(const proto::ForwardRequest&)>;

  // `log` is null on nodes that are not control VMs.
  ControlClient(const ControlClientOptions& options,
                ReplicatedLog* log,
                RequestSender send_request,
                ReplySender send_reply,
                Reader read);

  // Retries the call until a leader has answered it or `timeout` has passed.
  // Retries are safe because the state machine recognises repeated calls by
  // their ids.
  CallResult Call(proto::ForwardRequest call, Duration timeout);

  // Handles an encoded call that another node forwards to this control VM.
  // Throws MalformedMessageError.
  void OnRequestFrame(const peer::PeerProcess& from, const std::string& body);
  // Handles an encoded reply to a call that this process forwarded. Throws
  // MalformedMessageError.
  void OnReplyFrame(const std::string& body);

 private:
  struct PendingCall {
    std::optional<proto::ForwardReply> reply;
  };

  void OnReply(const proto::ForwardReply& reply);
  NodeId NextTarget(size_t attempt) const;
  // Whether this control VM knows that another VM leads.
  bool IsReplaced(const NodeId& leader) const;
  // Executes the call on this control VM and passes the reply to `done`.
  void ExecuteLocally(const proto::ForwardRequest& request,
                      std::function<void(proto::ForwardReply)> done);
  // Makes one attempt. Returns nullopt if there is no reply by `until`.
  std::optional<proto::ForwardReply> Attempt(const NodeId& target,
                                             proto::ForwardRequest& call,
                                             SteadyTime until);

  const ControlClientOptions options_;
  ReplicatedLog* const log_;
  const RequestSender send_request_;
  const ReplySender send_reply_;
  const Reader read_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  // By correlation id. The ids are unique within this process only.
  std::map<uint64_t, PendingCall> pending_calls_;
  uint64_t next_correlation_id_ = 1;
  NodeId leader_;
  std::condition_variable replied_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_CLIENT_H_
