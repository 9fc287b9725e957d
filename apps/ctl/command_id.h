// Generates ids of commands and requests.

#ifndef GOOSEBERRYROCK_APPS_CTL_COMMAND_ID_H_
#define GOOSEBERRYROCK_APPS_CTL_COMMAND_ID_H_

#include <string>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::ctl {

// Returns a unique id of the form <unix milliseconds>-<16 hexadecimal digits>;
// the digits are random.
std::string GenerateId(WallTime now);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_COMMAND_ID_H_
