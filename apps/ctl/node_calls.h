// Calls to the first node that gives a usable reply.

#ifndef GOOSEBERRYROCK_APPS_CTL_NODE_CALLS_H_
#define GOOSEBERRYROCK_APPS_CTL_NODE_CALLS_H_

#include <functional>
#include <string>
#include <vector>

#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_reply.h"

namespace gooseberryrock::ctl {

struct CtlOptions;

// What a reply says about the call.
enum class Verdict {
  // The reply is the result.
  kFinal,
  // The call did not run at this node; another node may run it.
  kNotRun,
  // The call may have run.
  kMayHaveRun,
};

struct NodeCall {
  // Host and port are filled in for each node.
  http::HttpCall call;
  // Whether running it twice has the same effect as running it once. If not, no
  // other node is tried once the call may have run.
  bool safe_to_resend = true;
  std::function<Verdict(const http::HttpReply&)> judge;
};

enum class CallResultKind { kReply, kNotRun, kMayHaveRun };

struct CallResult {
  CallResultKind kind = CallResultKind::kNotRun;
  // For kReply.
  http::HttpReply reply;
  // What went wrong at each node, one line each.
  std::vector<std::string> failures;
};

// Throws UsageError when the address of a node is not of the form host:port.
CallResult CallNodes(const CtlOptions& options, const NodeCall& call);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_NODE_CALLS_H_
