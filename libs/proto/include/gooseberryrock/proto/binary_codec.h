// Binary encoding of messages between nodes and in the replicated log.

#ifndef GOOSEBERRYROCK_PROTO_BINARY_CODEC_H_
#define GOOSEBERRYROCK_PROTO_BINARY_CODEC_H_

#include <string_view>

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace gooseberryrock::proto {

// Parses `bytes` into `message`. Throws MalformedMessageError.
void FromBytes(std::string_view bytes, google::protobuf::Message& message);

// Parses a message of type `Message`. Throws MalformedMessageError.
template <typename Message>
Message Parse(std::string_view bytes) {
  Message message;
  FromBytes(bytes, message);
  return message;
}

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_BINARY_CODEC_H_
