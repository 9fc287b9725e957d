// Thrown when a message cannot be decoded or a field is missing or out of
// range.

#ifndef GOOSEBERRYROCK_PROTO_MALFORMED_MESSAGE_ERROR_H_
#define GOOSEBERRYROCK_PROTO_MALFORMED_MESSAGE_ERROR_H_

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::proto {

class MalformedMessageError : public Error {
 public:
  using Error::Error;
};

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_MALFORMED_MESSAGE_ERROR_H_
