// Exit codes of gbrctl, documented in docs/commands/gbrctl.md. Scripts depend
// on them, so their meaning must not change.

#ifndef GOOSEBERRYROCK_APPS_CTL_EXIT_CODE_H_
#define GOOSEBERRYROCK_APPS_CTL_EXIT_CODE_H_

namespace gooseberryrock::ctl {

enum class ExitCode {
  kOk = 0,
  // Invalid arguments; nothing was sent.
  kUsage = 1,
  // The node rejected the request as invalid; all problems are printed.
  kInvalid = 2,
  // The catalog version differs from the expected one.
  kConflict = 3,
  // The command may have run; it can be resent with the same id.
  kOutcomeUnknown = 4,
  // The command did not run, or no node answered a read.
  kNotRun = 5,
  kUnauthorized = 6,
  // The command id was already used for a different command.
  kIdReused = 7,
  // The catalog version is not yet in force at all nodes.
  kNotInForce = 8,
  // The query's answer is partial; its coverage is printed.
  kPartialAnswer = 9,
  // The query ran and failed, or the reply could not be decoded.
  kFailed = 10,
};

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_EXIT_CODE_H_
