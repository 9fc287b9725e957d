// Loads the settings file of a node or throws.

#include "gooseberryrock/settings/load_settings.h"

#include "gooseberryrock/settings/check_settings.h"
#include "gooseberryrock/settings/settings_error.h"

namespace gooseberryrock::settings {

Settings LoadSettings(const std::string& path) {
  SettingsReport report = CheckSettings(path);
  if (report.problems.empty()) {
    return report.settings;
  }
  std::string message;
  for (const std::string& problem : report.problems) {
    message += (message.empty() ? "" : "\n") + problem;
  }
  throw SettingsError(message);
}

}  // namespace gooseberryrock::settings
