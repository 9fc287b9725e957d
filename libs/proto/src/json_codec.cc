// JSON encoding of messages with the proto3 JSON mapping.

#include "gooseberryrock/proto/json_codec.h"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

#include "gooseberryrock/proto/malformed_message_error.h"

namespace gooseberryrock::proto {

namespace {

std::string Print(const google::protobuf::Message& message, bool indented) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = indented;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string json;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &json, options);
  if (!status.ok()) {
    throw MalformedMessageError("cannot encode " + message.GetTypeName() +
                                ": " + status.ToString());
  }
  return json;
}

}  // namespace

std::string ToJson(const google::protobuf::Message& message) {
  return Print(message, /*indented=*/false);
}

std::string ToIndentedJson(const google::protobuf::Message& message) {
  return Print(message, /*indented=*/true);
}

void FromJson(std::string_view json,
              google::protobuf::Message& message,
              bool ignore_unknown) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = ignore_unknown;
  const auto status = google::protobuf::util::JsonStringToMessage(
      {json.data(), json.size()}, &message, options);
  if (!status.ok()) {
    throw MalformedMessageError("not a valid " +
                                message.GetDescriptor()->name() + ": " +
                                status.ToString());
  }
}

}  // namespace gooseberryrock::proto
