// Conversion of answers to the message that callers get.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_ANSWER_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_ANSWER_H_

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::query {
struct Answer;
}  // namespace gooseberryrock::query

namespace gooseberryrock::proto {

class QueryAnswer;

QueryAnswer ToMessage(const RequestId& request, const query::Answer& answer);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_ANSWER_H_
