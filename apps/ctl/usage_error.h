// Error for invalid arguments of gbrctl.

#ifndef GOOSEBERRYROCK_APPS_CTL_USAGE_ERROR_H_
#define GOOSEBERRYROCK_APPS_CTL_USAGE_ERROR_H_

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::ctl {

class UsageError : public Error {
 public:
  using Error::Error;
};

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_USAGE_ERROR_H_
