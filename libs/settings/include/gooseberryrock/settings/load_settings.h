// Loads the settings file of a node or throws.

#ifndef GOOSEBERRYROCK_SETTINGS_LOAD_SETTINGS_H_
#define GOOSEBERRYROCK_SETTINGS_LOAD_SETTINGS_H_

#include <string>

namespace gooseberryrock::settings {

struct Settings;

// Reads the JSON file at `path`, which may contain comments. Throws
// SettingsError, which lists every problem with its location and the accepted
// range.
Settings LoadSettings(const std::string& path);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_LOAD_SETTINGS_H_
