// Exit codes of gbrctl. Scripts depend on them: never change their meaning; see
// docs/commands/gbrctl.md.

#ifndef GOOSEBERRYROCK_APPS_CTL_EXIT_CODE_H_
#define GOOSEBERRYROCK_APPS_CTL_EXIT_CODE_H_

namespace gooseberryrock::ctl {

enum class ExitCode {
  kOk = 0,
  // Wrong arguments; nothing was sent.
  kUsage = 1,
  // Refused as invalid; all problems are printed.
  kInvalid = 2,
  // The catalog has another version than expected.
  kConflict = 3,
  // It may have run: send it again with the same id.
  kOutcomeUnknown = 4,
  // It did not run, or no node answered a read.
  kNotRun = 5,
  kUnauthorized = 6,
  // The command id belongs to another command.
  kIdReused = 7,
  // The version is not yet in force at all nodes.
  kNotInForce = 8,
  // The query's answer lacks rows; the coverage is printed.
  kPartialAnswer = 9,
  // The query ran and failed, or the reply was not understood.
  kFailed = 10,
};

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_EXIT_CODE_H_
