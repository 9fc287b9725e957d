// Limits the extra attempts (retries and hedges) of one service on one node to
// a share of its first attempts. The share then holds for all nodes together
// without coordination between them.

#ifndef GOOSEBERRYROCK_QUERY_ATTEMPT_BUDGET_H_
#define GOOSEBERRYROCK_QUERY_ATTEMPT_BUDGET_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct AttemptBudget {
  // Tokens added per first attempt.
  double share = 0.1;
  // Maximum number of tokens.
  double capacity = 20;
  // Available extra attempts, in [0, capacity].
  double tokens = 5;
  // Tokens added per second, independent of the load.
  double per_second = 0;
  // Time of the last refill by time.
  SteadyTime refilled_at = {};
};

// Adds the tokens for the time since the last refill.
void RefillBudget(AttemptBudget& budget, SteadyTime now);

// Adds the tokens for `first_attempts` first attempts.
void EarnBudget(AttemptBudget& budget, double first_attempts);

// Takes one token. Returns false if none is available.
bool SpendBudget(AttemptBudget& budget);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_ATTEMPT_BUDGET_H_
