// Builds the answer of a finished query.

#ifndef GOOSEBERRYROCK_QUERY_BUILD_ANSWER_H_
#define GOOSEBERRYROCK_QUERY_BUILD_ANSWER_H_

#include "gooseberryrock/query/answer.h"

namespace gooseberryrock::query {

struct QueryState;

// Returns whether any attempt without a merged reply may have run or may still
// run.
bool AnyAttemptMayHaveRun(const QueryState& state);

bool AnyShardAnswered(const QueryState& state);

// Merges the rows of all answered shards, moving them out of `state`.
Answer BuildAnswer(QueryState& state, bool deadline_passed);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_BUILD_ANSWER_H_
