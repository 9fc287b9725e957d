// The proto3 JSON mapping of messages.

#ifndef GOOSEBERRYROCK_PROTO_JSON_CODEC_H_
#define GOOSEBERRYROCK_PROTO_JSON_CODEC_H_

#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace gooseberryrock::proto {

// `message` as one line of JSON, with the field names of the schema file.
std::string ToJson(const google::protobuf::Message& message);

// Same over several lines, for people.
std::string ToIndentedJson(const google::protobuf::Message& message);

// Reads `json` into `message`. Unknown fields are ignored when
// `ignore_unknown`, so that a newer peer is understood.
// Throws MalformedMessageError.
void FromJson(std::string_view json,
              google::protobuf::Message& message,
              bool ignore_unknown = false);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_JSON_CODEC_H_
