// Checks the settings file of a node as a whole.

#ifndef GOOSEBERRYROCK_SETTINGS_CHECK_SETTINGS_H_
#define GOOSEBERRYROCK_SETTINGS_CHECK_SETTINGS_H_

#include <string>
#include <vector>

#include "gooseberryrock/settings/settings.h"

namespace gooseberryrock::settings {

struct SettingsReport {
  // Meaningful only when there are no problems.
  Settings settings;
  // Each line names the file, the JSON path (or the line and column of a syntax
  // error) and the accepted values. A node does not start with problems.
  std::vector<std::string> problems;
  // Same form; a node starts with warnings.
  std::vector<std::string> warnings;
};

// Reads and checks the JSON file with comments at `path`. Names of other files
// in it are relative to its folder.
SettingsReport CheckSettings(const std::string& path);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_CHECK_SETTINGS_H_
