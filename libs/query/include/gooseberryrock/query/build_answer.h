// The answer of a query that has finished.

#ifndef GOOSEBERRYROCK_QUERY_BUILD_ANSWER_H_
#define GOOSEBERRYROCK_QUERY_BUILD_ANSWER_H_

#include "gooseberryrock/query/answer.h"

namespace gooseberryrock::query {

struct QueryState;

// Whether an attempt without a merged reply may have run or may still run.
bool MayHaveRunSomewhere(const QueryState& state);

bool AnyShardAnswered(const QueryState& state);

// Merges the rows of all answered shards, which are moved out of `state`.
Answer BuildAnswer(QueryState& state, bool deadline_passed);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_BUILD_ANSWER_H_
