// Reads the settings file of a node.

#ifndef GOOSEBERRYROCK_SETTINGS_LOAD_SETTINGS_H_
#define GOOSEBERRYROCK_SETTINGS_LOAD_SETTINGS_H_

#include <string>

namespace gooseberryrock::settings {

struct Settings;

// Reads the JSON file with comments at `path`. Throws SettingsError that names
// every problem with its place and the accepted range.
Settings LoadSettings(const std::string& path);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_LOAD_SETTINGS_H_
