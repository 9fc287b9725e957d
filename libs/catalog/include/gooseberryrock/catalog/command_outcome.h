// What became of a command.

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
  // The change itself is not valid; `problems` names everything wrong with it.
  kInvalid,
  // The command id was used before with other content.
  kIdReused,
};

struct CommandOutcome {
  CommandStatus status = CommandStatus::kInvalid;
  // Accepted: the version that the command made. Else: the current version at
  // the time of the command.
  uint64_t version = 0;
  std::vector<std::string> problems;

  auto operator<=>(const CommandOutcome&) const = default;
};

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_COMMAND_OUTCOME_H_
