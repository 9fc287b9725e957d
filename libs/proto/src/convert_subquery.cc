// Conversion of a backend server's reply to an attempt.

#include "gooseberryrock/proto/convert_subquery.h"

#include "backend.pb.h"

namespace gooseberryrock::proto {

std::variant<query::SubqueryReply, query::AttemptFailure> FromMessage(
    const SubqueryReply& message) {
  if (!message.end()) {
    return query::AttemptFailure::kConnectionLost;
  }
  if (message.status() == "refused") {
    return query::AttemptFailure::kRefused;
  }
  if (message.status() == "no_snapshot") {
    return query::AttemptFailure::kNoSnapshot;
  }
  if (message.status() != "ok") {
    return query::AttemptFailure::kServerError;
  }
  query::SubqueryReply reply;
  reply.attempt = message.attempt_id();
  reply.shard.value = message.shard();
  reply.snapshot = {message.layout_version(), message.index_version()};
  reply.rows.assign(message.rows().begin(), message.rows().end());
  reply.all_rows = message.all_rows();
  reply.end_marker = message.end();
  return reply;
}

}  // namespace gooseberryrock::proto
