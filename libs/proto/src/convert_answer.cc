// Conversion of answers to the message returned to callers.

#include "gooseberryrock/proto/convert_answer.h"

#include "caller.pb.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/query/answer.h"

namespace gooseberryrock::proto {

QueryAnswer ToMessage(const RequestId& request, const query::Answer& answer) {
  QueryAnswer message;
  message.set_request_id(request.value);
  message.set_status(std::string(query::AnswerStatusName(answer.status)));
  message.set_reason(std::string(query::AnswerReasonName(answer.reason)));
  Coverage& coverage = *message.mutable_coverage();
  const size_t missing = answer.missing_shards.size();
  coverage.set_shards_total(static_cast<uint32_t>(answer.shards_total));
  coverage.set_shards_answered(
      static_cast<uint32_t>(answer.shards_total - missing));
  for (const ShardId& shard : answer.missing_shards) {
    coverage.add_missing_shards(shard.value);
  }
  message.set_layout_version(answer.snapshot.layout_version);
  message.set_index_version(answer.snapshot.index_version);
  for (const auto& row : answer.rows) {
    message.add_rows(row);
  }
  if (answer.retry_after) {
    message.set_retry_after_ms(static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            *answer.retry_after)
            .count()));
  }
  message.set_end(true);
  return message;
}

std::string EncodeAnswer(const query::Answer& answer) {
  return ToMessage(RequestId(), answer).SerializeAsString();
}

query::Answer DecodeAnswer(const std::string& bytes) {
  QueryAnswer message;
  if (!message.ParseFromString(bytes)) {
    throw MalformedMessageError("a recorded answer cannot be decoded");
  }
  const auto status = query::ParseAnswerStatus(message.status());
  const auto reason = query::ParseAnswerReason(message.reason());
  if (!status || !reason) {
    throw MalformedMessageError("a recorded answer has an unknown status");
  }
  query::Answer answer;
  answer.status = *status;
  answer.reason = *reason;
  answer.snapshot = {message.layout_version(), message.index_version()};
  answer.shards_total = message.coverage().shards_total();
  for (const auto& shard : message.coverage().missing_shards()) {
    answer.missing_shards.push_back({shard});
  }
  answer.rows.assign(message.rows().begin(), message.rows().end());
  return answer;
}

}  // namespace gooseberryrock::proto
