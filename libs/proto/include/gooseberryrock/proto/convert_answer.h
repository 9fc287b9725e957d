// Conversion of answers to the message returned to callers, and their encoding
// in the replicated log.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_ANSWER_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_ANSWER_H_

#include <string>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::query {
struct Answer;
}  // namespace gooseberryrock::query

namespace gooseberryrock::proto {

class QueryAnswer;

QueryAnswer ToMessage(const RequestId& request, const query::Answer& answer);

std::string EncodeAnswer(const query::Answer& answer);

// Throws MalformedMessageError.
query::Answer DecodeAnswer(const std::string& bytes);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_ANSWER_H_
