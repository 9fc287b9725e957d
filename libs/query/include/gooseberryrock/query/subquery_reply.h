// A backend server's reply to one attempt, and the ways an attempt can fail.

#ifndef GOOSEBERRYROCK_QUERY_SUBQUERY_REPLY_H_
#define GOOSEBERRYROCK_QUERY_SUBQUERY_REPLY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/query/snapshot.h"

namespace gooseberryrock::query {

// Identifies an attempt; never used twice by one incarnation of a node.
using AttemptId = uint64_t;

struct SubqueryReply {
  AttemptId attempt = 0;
  ShardId shard;
  Snapshot snapshot;
  std::vector<std::string> rows;
  // False when the server itself says that rows are missing.
  bool all_rows = false;
  // Set by the server as the last field of the reply. A reply without it was
  // truncated.
  bool end_marker = false;
};

enum class AttemptFailure {
  // No byte of the request left this node.
  kNotSent,
  // The server says that it did not run the request.
  kRefused,
  // The server says that it does not have the pinned snapshot. Implies that it
  // did not run the request.
  kNoSnapshot,
  // The server ran the request and reports an error.
  kServerError,
  // The connection was lost, or the reply was truncated or malformed. The
  // request may have run.
  kConnectionLost,
  // The connection stopped responding and may be replaced. The request may have
  // run. Its retry needs no budget: the rate of replacements limits it.
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
