// Conversion of a backend server's reply to an attempt.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_SUBQUERY_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_SUBQUERY_H_

#include <variant>

#include "gooseberryrock/query/subquery_reply.h"

namespace gooseberryrock::proto {

class SubqueryReply;

// Returns the reply, or the failure that it reports. A reply without an end
// marker counts as a lost connection.
std::variant<query::SubqueryReply, query::AttemptFailure> FromMessage(
    const SubqueryReply& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_SUBQUERY_H_
