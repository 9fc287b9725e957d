// Ids of commands and requests.

#ifndef GOOSEBERRYROCK_APPS_CTL_COMMAND_ID_H_
#define GOOSEBERRYROCK_APPS_CTL_COMMAND_ID_H_

#include <string>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::ctl {

// An id of the form <unix milliseconds>-<16 hexadecimal digits> that no other
// call returns.
std::string NewId(WallTime now);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_COMMAND_ID_H_
