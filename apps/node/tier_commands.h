// Subcommands of gbrnode that run one role of a deployment whose nodes discover
// each other.

#ifndef GOOSEBERRYROCK_APPS_NODE_TIER_COMMANDS_H_
#define GOOSEBERRYROCK_APPS_NODE_TIER_COMMANDS_H_

#include <string>

namespace gooseberryrock {

// Both run until a stop signal and then exit the process. They throw
// gooseberryrock::Error when the node cannot start.
[[noreturn]] void RunEntryNode(const std::string& settings_path);
[[noreturn]] void RunControlNode(const std::string& settings_path);

// Prints the end and the members of the log on the disk of a control VM that
// does not run. With `confirmed`, makes that VM the only voter of the log.
// Throws gooseberryrock::Error, also if the VM runs.
void RecoverLog(const std::string& settings_path, bool confirmed);

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_APPS_NODE_TIER_COMMANDS_H_
