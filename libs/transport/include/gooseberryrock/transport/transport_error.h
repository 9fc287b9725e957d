// Thrown when a socket cannot be opened.

#ifndef GOOSEBERRYROCK_TRANSPORT_TRANSPORT_ERROR_H_
#define GOOSEBERRYROCK_TRANSPORT_TRANSPORT_ERROR_H_

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::transport {

class TransportError : public Error {
 public:
  using Error::Error;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_TRANSPORT_ERROR_H_
