// JSON encoding of messages with the proto3 JSON mapping.

#ifndef GOOSEBERRYROCK_PROTO_JSON_CODEC_H_
#define GOOSEBERRYROCK_PROTO_JSON_CODEC_H_

#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace gooseberryrock::proto {

// Returns `message` as one line of JSON, with the field names of the schema.
std::string ToJson(const google::protobuf::Message& message);

// As above, but indented over several lines for readability.
std::string ToIndentedJson(const google::protobuf::Message& message);

// Parses `json` into `message`. `ignore_unknown` ignores unknown fields, to
// accept messages of newer peers. Throws MalformedMessageError.
void FromJson(std::string_view json,
              google::protobuf::Message& message,
              bool ignore_unknown = false);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_JSON_CODEC_H_
