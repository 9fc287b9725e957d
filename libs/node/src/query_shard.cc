// The running queries of one query shard.

#include "gooseberryrock/node/query_shard.h"

#include <utility>

namespace gooseberryrock::node {

namespace {

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

QueryShard::QueryShard(query::AttemptIdSource ids, EffectsHandler on_effects)
    : on_effects_(std::move(on_effects)), ids_(ids) {
  timer_thread_ = std::thread([this] { RunTimers(); });
}

QueryShard::~QueryShard() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  timers_changed_.notify_one();
  timer_thread_.join();
}

query::Answer QueryShard::Run(query::QueryState state,
                              std::shared_ptr<const ServiceView> view) {
  std::unique_lock lock(mutex_);
  const QueryNumber number = next_number_++;
  RunningQuery& running = queries_[number];
  running.state = std::move(state);
  running.view = std::move(view);
  PendingEffects pending = RecordEffects(
      number, running,
      query::StartQuery(running.state, ids_,
                        BudgetOf(running.state.request.service), Now()));
  lock.unlock();
  on_effects_(pending);
  lock.lock();
  running.answered.wait(lock, [&] { return running.answer.has_value(); });
  query::Answer answer = std::move(*running.answer);
  queries_.erase(number);
  return answer;
}

bool QueryShard::OnAttemptRouted(query::AttemptId attempt,
                                 const BackendServerId& server) {
  std::lock_guard lock(mutex_);
  auto it = attempts_.find(attempt);
  if (it == attempts_.end()) {
    return false;
  }
  return query::OnAttemptRouted(queries_.at(it->second).state, attempt, server,
                                Now());
}

void QueryShard::OnReply(query::SubqueryReply reply) {
  const query::AttemptId attempt = reply.attempt;
  ApplyToAttempt(attempt, [&](RunningQuery& running) {
    return query::OnReply(running.state, std::move(reply), ids_,
                          BudgetOf(running.state.request.service), Now());
  });
}

void QueryShard::OnNewerSnapshot(QueryNumber number,
                                 std::optional<query::QueryPlan> plan,
                                 std::shared_ptr<const ServiceView> view) {
  Apply(number, [&](RunningQuery& running) {
    running.view = std::move(view);
    return query::OnNewerSnapshot(running.state, std::move(plan), ids_, Now());
  });
}

void QueryShard::OnAttemptFailed(query::AttemptId attempt,
                                 query::AttemptFailure failure) {
  ApplyToAttempt(attempt, [&](RunningQuery& running) {
    return query::OnAttemptFailed(running.state, attempt, failure, ids_,
                                  BudgetOf(running.state.request.service),
                                  Now());
  });
}

void QueryShard::ApplyToAttempt(query::AttemptId attempt, const Event& event) {
  QueryNumber number = 0;
  {
    std::lock_guard lock(mutex_);
    auto it = attempts_.find(attempt);
    if (it == attempts_.end()) {
      return;
    }
    number = it->second;
    attempts_.erase(it);
  }
  Apply(number, event);
}

void QueryShard::Apply(QueryNumber number, const Event& event) {
  PendingEffects pending;
  {
    std::lock_guard lock(mutex_);
    auto it = queries_.find(number);
    if (it == queries_.end() || it->second.answer) {
      return;
    }
    pending = RecordEffects(number, it->second, event(it->second));
  }
  on_effects_(pending);
}

query::AttemptBudget& QueryShard::BudgetOf(const ServiceName& service) {
  // Limits retries and hedges together to 5% of the first attempts.
  constexpr query::AttemptBudget kBudget{
      .share = 0.05, .capacity = 20, .tokens = 5};
  return budgets_.try_emplace(service, kBudget).first->second;
}

QueryShard::PendingEffects QueryShard::RecordEffects(
    QueryNumber number,
    RunningQuery& running,
    query::QueryEffects effects) {
  for (const query::AttemptToSend& attempt : effects.send) {
    attempts_[attempt.id] = number;
  }
  for (const query::AttemptToCancel& attempt : effects.cancel) {
    attempts_.erase(attempt.id);
  }
  if (effects.next_timer) {
    timers_.emplace(*effects.next_timer, number);
    timers_changed_.notify_one();
  }
  PendingEffects pending{number, running.view, running.state.request,
                         running.state.plan.snapshot, std::move(effects)};
  if (pending.effects.answer) {
    running.answer = std::move(pending.effects.answer);
    pending.effects.answer.reset();
    running.answered.notify_one();
  }
  return pending;
}

void QueryShard::RunTimers() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (timers_.empty()) {
      timers_changed_.wait(lock);
      continue;
    }
    const auto [due, number] = *timers_.begin();
    if (Now() < due) {
      timers_changed_.wait_until(lock, due);
      continue;
    }
    timers_.erase(timers_.begin());
    lock.unlock();
    Apply(number, [this](RunningQuery& running) {
      return query::OnTimer(running.state, ids_,
                            BudgetOf(running.state.request.service), Now());
    });
    lock.lock();
  }
}

}  // namespace gooseberryrock::node
