// Outcome of a request to the replicated log.

#ifndef GOOSEBERRYROCK_CONTROL_SUBMIT_RESULT_H_
#define GOOSEBERRYROCK_CONTROL_SUBMIT_RESULT_H_

#include <string>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::control {

enum class SubmitStatus {
  // Committed and applied.
  kDone,
  // Not appended: this VM is not the leader or cannot accept it now.
  kNotRun,
  // Permanently rejected; `result` is the reason.
  kRejected,
  // May have been committed or may still be committed.
  kUnknown,
};

struct SubmitResult {
  SubmitStatus status = SubmitStatus::kNotRun;
  // kDone: the result of the state machine; kRejected: the reason.
  std::string result;
  // The leader known to this VM; empty if unknown.
  NodeId leader;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_SUBMIT_RESULT_H_
