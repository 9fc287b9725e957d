// The running queries of one query shard, with one lock and one timer thread.

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

  // The effects of an event with the data needed to execute them.
  struct PendingEffects {
    QueryNumber number = 0;
    std::shared_ptr<const ServiceView> view;
    query::QueryRequest request;
    query::Snapshot snapshot;
    query::QueryEffects effects;
  };
  // Called without the lock held, on the thread that delivered the event.
  using EffectsHandler = std::function<void(const PendingEffects&)>;

  QueryShard(query::AttemptIdSource ids, EffectsHandler on_effects);
  QueryShard(const QueryShard&) = delete;
  QueryShard& operator=(const QueryShard&) = delete;
  ~QueryShard();

  // Runs the query and blocks until its answer is ready, at the deadline at the
  // latest.
  query::Answer Run(query::QueryState state,
                    std::shared_ptr<const ServiceView> view);

  // Returns false if the attempt was cancelled or has ended.
  bool OnAttemptRouted(query::AttemptId attempt, const BackendServerId& server);
  void OnReply(query::SubqueryReply reply);
  void OnAttemptFailed(query::AttemptId attempt, query::AttemptFailure failure);
  // Responds to QueryEffects::find_newer_snapshot with a plan built from
  // `view`.
  void OnNewerSnapshot(QueryNumber number,
                       std::optional<query::QueryPlan> plan,
                       std::shared_ptr<const ServiceView> view);

 private:
  struct RunningQuery {
    query::QueryState state;
    std::shared_ptr<const ServiceView> view;
    std::optional<query::Answer> answer;
    std::condition_variable answered;
  };
  // Applies an event to a query. Called with the lock held.
  using Event = std::function<query::QueryEffects(RunningQuery&)>;

  void Apply(QueryNumber number, const Event& event);
  void ApplyToAttempt(query::AttemptId attempt, const Event& event);
  // Records the attempts, timer and answer of the effects. Requires the lock to
  // be held.
  PendingEffects RecordEffects(QueryNumber number,
                               RunningQuery& running,
                               query::QueryEffects effects);
  // Requires the lock to be held.
  query::AttemptBudget& BudgetOf(const ServiceName& service);
  void RunTimers();

  const EffectsHandler on_effects_;
  std::mutex mutex_;
  // All members below are guarded by `mutex_`.
  query::AttemptIdSource ids_;
  QueryNumber next_number_ = 1;
  std::map<QueryNumber, RunningQuery> queries_;
  // Maps each attempt that was sent and has neither ended nor been cancelled to
  // its query.
  std::map<query::AttemptId, QueryNumber> attempts_;
  std::map<ServiceName, query::AttemptBudget> budgets_;
  // Times at which OnTimer() is due, per query.
  std::multimap<SteadyTime, QueryNumber> timers_;
  std::condition_variable timers_changed_;
  bool stopping_ = false;
  std::thread timer_thread_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_QUERY_SHARD_H_
