// Binary encoding of messages.

#include "gooseberryrock/proto/binary_codec.h"

#include <google/protobuf/message.h>

#include "gooseberryrock/proto/malformed_message_error.h"

namespace gooseberryrock::proto {

void FromBytes(std::string_view bytes, google::protobuf::Message& message) {
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    throw MalformedMessageError("not a valid " +
                                message.GetDescriptor()->name());
  }
}

}  // namespace gooseberryrock::proto
