// Reads and validates the settings file of a node, and reports all problems.

#ifndef GOOSEBERRYROCK_SETTINGS_CHECK_SETTINGS_H_
#define GOOSEBERRYROCK_SETTINGS_CHECK_SETTINGS_H_

#include <string>
#include <vector>

#include "gooseberryrock/settings/settings.h"

namespace gooseberryrock::settings {

struct SettingsReport {
  // Valid only when `problems` is empty.
  Settings settings;
  // Each entry names the file, the JSON path (or the line and column of a
  // syntax error) and the accepted values. A node with problems does not start.
  std::vector<std::string> problems;
  // Same format as `problems`, but warnings do not keep a node from starting.
  std::vector<std::string> warnings;
};

// Reads and validates the JSON file at `path`, which may contain comments.
// Relative file names in it are resolved against its folder.
SettingsReport CheckSettings(const std::string& path);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_CHECK_SETTINGS_H_
