// Admission control and latency estimates of one service on this node.

#include "gooseberryrock/node/service_admission.h"

#include <utility>

namespace gooseberryrock::node {

namespace {

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

bool ServiceAdmission::IsOutdated(
    const std::shared_ptr<const ServiceView>& view) const {
  std::lock_guard lock(mutex_);
  return view_ != view;
}

void ServiceAdmission::Update(std::shared_ptr<const ServiceView> view,
                              uint32_t server_slots,
                              uint32_t nodes) {
  std::lock_guard lock(mutex_);
  view_ = std::move(view);
  server_slots_ = server_slots;
  nodes_ = nodes;
  policies_.refreshed_at.reset();
}

std::optional<query::QueryPolicy>
ServiceAdmission::Enter(Rank rank, SteadyTime deadline, Duration& retry_after) {
  std::unique_lock lock(mutex_);
  const SteadyTime now = Now();
  Refresh(now);
  const query::AdmissionTicket ticket = next_ticket_++;
  Waiter& waiter = waiters_[ticket];
  const SteadyTime latest_start =
      deadline - policies_.admission.expected[RankIndex(rank)];
  Apply(query::OnQueryArrived(admission_, policies_.admission, rank, ticket,
                              deadline, now));
  while (waiter.state == WaiterState::kWaiting) {
    // Each waiting thread runs the admission timer at its own latest start.
    if (waiter.changed.wait_until(lock, latest_start) ==
        std::cv_status::timeout) {
      Apply(query::OnAdmissionTimer(admission_, policies_.admission, Now()));
    }
  }
  const bool started = waiter.state == WaiterState::kStarted;
  retry_after = waiter.retry_after;
  waiters_.erase(ticket);
  return started ? std::optional(policies_.query[RankIndex(rank)])
                 : std::nullopt;
}

void ServiceAdmission::Leave(Rank rank, Duration run_time) {
  std::lock_guard lock(mutex_);
  const SteadyTime now = Now();
  query::RecordQueryTime(estimates_, rank, run_time, now);
  Refresh(now);
  Apply(query::OnQueryEnded(admission_, policies_.admission, rank, run_time,
                            now));
}

void ServiceAdmission::RecordSubquery(Rank rank, Duration elapsed) {
  std::lock_guard lock(mutex_);
  query::RecordSubqueryTime(estimates_, rank, elapsed, Now());
}

Duration ServiceAdmission::MeanSubqueryTime() const {
  std::lock_guard lock(mutex_);
  return estimates_.mean_subquery;
}

Duration ServiceAdmission::SilenceTimeout(Rank rank) const {
  std::lock_guard lock(mutex_);
  return policies_.silence[RankIndex(rank)];
}

void ServiceAdmission::Refresh(SteadyTime now) {
  query::RefreshPolicies(policies_, view_->definition, estimates_,
                         server_slots_, nodes_, now);
}

void ServiceAdmission::Apply(const query::AdmissionEffects& effects) {
  for (const query::AdmissionTicket ticket : effects.start) {
    Waiter& waiter = waiters_.at(ticket);
    waiter.state = WaiterState::kStarted;
    waiter.changed.notify_one();
  }
  for (const query::AdmissionRefusal& it : effects.refuse) {
    Waiter& waiter = waiters_.at(it.ticket);
    waiter.state = WaiterState::kRefused;
    waiter.retry_after = it.retry_after;
    waiter.changed.notify_one();
  }
}

}  // namespace gooseberryrock::node
