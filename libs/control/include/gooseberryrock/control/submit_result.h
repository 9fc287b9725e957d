// What became of an entry that was submitted to the replicated log.

#ifndef GOOSEBERRYROCK_CONTROL_SUBMIT_RESULT_H_
#define GOOSEBERRYROCK_CONTROL_SUBMIT_RESULT_H_

#include <string>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::control {

enum class SubmitStatus {
  // Committed and applied.
  kDone,
  // Not appended: this VM does not lead or cannot take it now.
  kNotRun,
  // Not appended, and never will be; `result` says why.
  kRejected,
  // May have been or may still be committed.
  kUnknown,
};

struct SubmitResult {
  SubmitStatus status = SubmitStatus::kNotRun;
  // For kDone, what the state machine returned; for kRejected, the reason.
  std::string result;
  // The leader as far as this VM knows; may be empty.
  NodeId leader;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_SUBMIT_RESULT_H_
