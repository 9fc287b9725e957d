// A backend server's reply to one attempt, and the failures of an attempt.

#ifndef GOOSEBERRYROCK_QUERY_SUBQUERY_REPLY_H_
#define GOOSEBERRYROCK_QUERY_SUBQUERY_REPLY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/query/snapshot.h"

namespace gooseberryrock::query {

// Identifies an attempt; unique within one incarnation of a node.
using AttemptId = uint64_t;

struct SubqueryReply {
  AttemptId attempt = 0;
  ShardId shard;
  Snapshot snapshot;
  std::vector<std::string> rows;
  // False if the server reports that rows are missing.
  bool all_rows = false;
  // The last field of a reply; a reply without it is truncated.
  bool end_marker = false;
};

enum class AttemptFailure {
  // No byte of the request was sent.
  kNotSent,
  // The server reports that it did not run the request.
  kRefused,
  // The server does not have the pinned snapshot and did not run the request.
  kNoSnapshot,
  // The server ran the request and returned an error.
  kServerError,
  // The connection was lost, or the reply was truncated or malformed. The
  // request may have run.
  kConnectionLost,
  // The connection stopped responding and may be replaced. The request may have
  // run. The retry does not use the attempt budget, because the replacement
  // rate of connections limits it.
  kConnectionSilent,
  // The server crashed while it ran the request.
  kServerCrashed,
};

// Whether an attempt that failed with `failure` may have run.
constexpr bool MayHaveRun(AttemptFailure failure) {
  return failure == AttemptFailure::kServerError ||
         failure == AttemptFailure::kConnectionLost ||
         failure == AttemptFailure::kConnectionSilent ||
         failure == AttemptFailure::kServerCrashed;
}

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SUBQUERY_REPLY_H_
