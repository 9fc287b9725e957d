// Calls on the replicated log from any node: finds the leader, forwards the
// call to it and brings the reply back.

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

namespace gooseberryrock::control {

class ReplicatedLog;
struct SubmitResult;

enum class CallStatus {
  kDone,
  // The call was certainly not run.
  kNotRun,
  // The call may have been run; it may be made again with the same ids.
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
  using ReplySender =
      std::function<void(const NodeId& to, const proto::ForwardReply&)>;
  // Reads what a call asks for: an encoded ForwardReply.
  using Reader = std::function<std::string(const proto::ForwardRequest&)>;

  // `log` is null on a node that is no control VM.
  ControlClient(const ControlClientOptions& options,
                ReplicatedLog* log,
                RequestSender send_request,
                ReplySender send_reply,
                Reader read);

  // Makes the call until a leader has answered it or `timeout` has passed. May
  // be made several times inside, which is safe because the state machine
  // recognises a repeated call by its ids.
  CallResult Call(proto::ForwardRequest call, Duration timeout);

  // An encoded call that another node forwards to this control VM. Throws
  // MalformedMessageError.
  void OnRequestFrame(const NodeId& from, const std::string& body);
  // An encoded reply to a forwarded call. Throws MalformedMessageError.
  void OnReplyFrame(const std::string& body);

 private:
  struct Waiting {
    std::optional<proto::ForwardReply> reply;
  };

  void OnReply(const proto::ForwardReply& reply);
  NodeId NextTarget(size_t attempt) const;
  // Runs the call on this control VM and hands the reply to `done`.
  void RunLocally(const proto::ForwardRequest& request,
                  std::function<void(proto::ForwardReply)> done);
  // One try: the reply, or nothing when none came by `until`.
  std::optional<proto::ForwardReply> Try(const NodeId& target,
                                         proto::ForwardRequest& call,
                                         SteadyTime until);

  const ControlClientOptions options_;
  ReplicatedLog* const log_;
  const RequestSender send_request_;
  const ReplySender send_reply_;
  const Reader read_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  std::map<uint64_t, Waiting> waiting_;
  uint64_t next_correlation_id_ = 1;
  NodeId leader_;
  std::condition_variable replied_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_CLIENT_H_
