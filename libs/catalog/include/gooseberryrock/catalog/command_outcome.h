// The outcome of a command.

#ifndef GOOSEBERRYROCK_CATALOG_COMMAND_OUTCOME_H_
#define GOOSEBERRYROCK_CATALOG_COMMAND_OUTCOME_H_

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberryrock::catalog {

enum class CommandStatus {
  kAccepted,
  // The expected version is not the current one.
  kConflict,
  // The change is invalid; `problems` lists every problem.
  kInvalid,
  // The command id was already used with different content.
  kIdReused,
};

struct CommandOutcome {
  CommandStatus status = CommandStatus::kInvalid;
  // If accepted: the version that the command created. Otherwise: the version
  // when the command was evaluated.
  uint64_t version = 0;
  std::vector<std::string> problems;

  auto operator<=>(const CommandOutcome&) const = default;
};

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_COMMAND_OUTCOME_H_
