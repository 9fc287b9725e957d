// Conversion of answers to the message that callers get.

#include "gooseberryrock/proto/convert_answer.h"

#include "caller.pb.h"
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

}  // namespace gooseberryrock::proto
