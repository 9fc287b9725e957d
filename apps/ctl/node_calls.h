// Calls the nodes in turn until one returns a conclusive reply.

#ifndef GOOSEBERRYROCK_APPS_CTL_NODE_CALLS_H_
#define GOOSEBERRYROCK_APPS_CTL_NODE_CALLS_H_

#include <functional>
#include <string>
#include <vector>

#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_reply.h"

namespace gooseberryrock::ctl {

struct CtlOptions;

// What a reply implies about the execution of the call.
enum class ReplyClass {
  // The reply is the result; no other node is tried.
  kFinal,
  // This node did not run the call; the next node can be tried.
  kNotRun,
  // The node may have run the call.
  kMayHaveRun,
};

struct NodeCall {
  // Host and port are filled in for each node.
  http::HttpCall call;
  // Whether resending the call has no further effect, because it is idempotent
  // or its id is deduplicated. If not, no other node is tried once the call may
  // have run.
  bool safe_to_resend = true;
  std::function<ReplyClass(const http::HttpReply&)> classify;
};

enum class CallResultKind { kReply, kNotRun, kMayHaveRun };

struct CallResult {
  CallResultKind kind = CallResultKind::kNotRun;
  // Set for kReply.
  http::HttpReply reply;
  // One line for each node that failed.
  std::vector<std::string> failures;
};

// Throws UsageError when the address of a node is not of the form host:port.
CallResult CallNodes(const CtlOptions& options, const NodeCall& call);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_NODE_CALLS_H_
