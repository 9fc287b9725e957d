// The running queries of one query shard: one lock and one timer thread.

#ifndef GOOSEBERRYROCK_NODE_QUERY_SHARD_H_
#define GOOSEBERRYROCK_NODE_QUERY_SHARD_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/node/service_view.h"
#include "gooseberryrock/query/attempt_budget.h"
#include "gooseberryrock/query/query_effects.h"
#include "gooseberryrock/query/query_machine.h"
#include "gooseberryrock/query/query_state.h"

namespace gooseberryrock::node {

class QueryShard {
 public:
  using QueryNumber = uint64_t;

  // Effects of an event together with what is needed to carry them out.
  struct Work {
    QueryNumber number = 0;
    std::shared_ptr<const ServiceView> view;
    query::QueryRequest request;
    query::Snapshot snapshot;
    query::QueryEffects effects;
  };
  // Called without the lock held, on the thread that brought the event.
  using WorkHandler = std::function<void(const Work&)>;

  QueryShard(query::AttemptIdSource ids, WorkHandler on_work);
  QueryShard(const QueryShard&) = delete;
  QueryShard& operator=(const QueryShard&) = delete;
  ~QueryShard();

  // Runs the query and waits for its answer, which comes by the deadline.
  query::Answer Run(query::QueryState state,
                    std::shared_ptr<const ServiceView> view);

  // Returns false when the attempt is no longer wanted.
  bool OnAttemptRouted(query::AttemptId attempt, const BackendServerId& server);
  void OnReply(query::SubqueryReply reply);
  void OnAttemptFailed(query::AttemptId attempt, query::AttemptFailure failure);
  // Answers QueryEffects::find_newer_snapshot with a plan from `view`.
  void OnNewerSnapshot(QueryNumber number,
                       std::optional<query::QueryPlan> plan,
                       std::shared_ptr<const ServiceView> view);

 private:
  struct Running {
    query::QueryState state;
    std::shared_ptr<const ServiceView> view;
    std::optional<query::Answer> answer;
    std::condition_variable answered;
  };
  // Applies an event to the query with the number `number`; the lock is held.
  using Event = std::function<query::QueryEffects(Running&)>;

  void Apply(QueryNumber number, const Event& event);
  void ApplyToAttempt(query::AttemptId attempt, const Event& event);
  // Notes attempts, timer and answer of the effects; the lock is held.
  Work Record(QueryNumber number,
              Running& running,
              query::QueryEffects effects);
  // The lock is held.
  query::AttemptBudget& BudgetOf(const ServiceName& service);
  void RunTimers();

  const WorkHandler on_work_;
  std::mutex mutex_;
  // All members below are guarded by `mutex_`.
  query::AttemptIdSource ids_;
  QueryNumber next_number_ = 1;
  std::map<QueryNumber, Running> queries_;
  // The query of each attempt that was sent and not cancelled or ended.
  std::map<query::AttemptId, QueryNumber> attempts_;
  std::map<ServiceName, query::AttemptBudget> budgets_;
  // Times at which OnTimer() is due.
  std::multimap<SteadyTime, QueryNumber> timers_;
  std::condition_variable timers_changed_;
  bool stopping_ = false;
  std::thread timer_thread_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_QUERY_SHARD_H_
