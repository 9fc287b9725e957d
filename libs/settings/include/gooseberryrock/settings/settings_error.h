// Error for invalid settings; its message lists every problem.

#ifndef GOOSEBERRYROCK_SETTINGS_SETTINGS_ERROR_H_
#define GOOSEBERRYROCK_SETTINGS_SETTINGS_ERROR_H_

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::settings {

class SettingsError : public Error {
 public:
  using Error::Error;
};

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_SETTINGS_ERROR_H_
