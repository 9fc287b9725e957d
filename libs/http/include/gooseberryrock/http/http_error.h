// Thrown when an HTTP exchange with another process fails.

#ifndef GOOSEBERRYROCK_HTTP_HTTP_ERROR_H_
#define GOOSEBERRYROCK_HTTP_HTTP_ERROR_H_

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::http {

class HttpError : public Error {
 public:
  using Error::Error;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_HTTP_ERROR_H_
