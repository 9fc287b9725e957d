// Limits the extra attempts (retries and hedges) of one service on one node to
// a share of its first attempts, so that all nodes together keep to the same
// share without talking to each other.

#ifndef GOOSEBERRYROCK_QUERY_ATTEMPT_BUDGET_H_
#define GOOSEBERRYROCK_QUERY_ATTEMPT_BUDGET_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct AttemptBudget {
  // Extra attempts earned by each first attempt.
  double share = 0.1;
  // Most extra attempts that can be saved up.
  double capacity = 20;
  // Extra attempts at hand, in [0, capacity].
  double tokens = 5;
  // Extra attempts earned by each second, whatever the work.
  double per_second = 0;
  // When those were added last.
  SteadyTime refilled_at = {};
};

// Adds what the time up to `now` earns.
void RefillBudget(AttemptBudget& budget, SteadyTime now);

// Adds what `first_attempts` first attempts earn.
void EarnBudget(AttemptBudget& budget, double first_attempts);

// Takes one extra attempt from the budget. Returns whether there was one.
bool SpendBudget(AttemptBudget& budget);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_ATTEMPT_BUDGET_H_
