// Execution slots of a stand-in backend server with a queue of waiting
// subqueries.

#include "work_queue.h"

#include <algorithm>
#include <chrono>

namespace gooseberryrock::standin {

namespace {

constexpr Duration kQueueLengthHistory = std::chrono::minutes(1);

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

WorkResult WorkQueue::Run(const WorkItem& item) {
  std::unique_lock lock(mutex_);
  if (busy_ == slots_ && waiting_.size() >= item.max_queue) {
    ++stats_.refused;
    return WorkResult::kRefused;
  }
  auto position = waiting_.insert(waiting_.end(), item.attempt);
  RecordQueueLength();
  const auto cancelled = [&] { return cancelled_.contains(item.attempt); };
  const auto can_stop_waiting = [&] {
    return cancelled() || (busy_ < slots_ && position == waiting_.begin());
  };
  // wait_until() overflows with time_point::max(), a time in the year 2262.
  if (item.deadline == SteadyTime::max()) {
    changed_.wait(lock, can_stop_waiting);
  } else {
    changed_.wait_until(lock, item.deadline, can_stop_waiting);
  }
  const bool deadline_passed = Now() >= item.deadline;
  const bool stop = cancelled() || deadline_passed;
  waiting_.erase(position);
  RecordQueueLength();
  changed_.notify_all();
  if (stop) {
    ++stats_.refused;
    stats_.refused_late += deadline_passed ? 1 : 0;
    stats_.cancelled_waiting += cancelled() ? 1 : 0;
    return WorkResult::kRefused;
  }
  return RunInSlot(item, lock);
}

WorkResult WorkQueue::RunInSlot(const WorkItem& item,
                                std::unique_lock<std::mutex>& lock) {
  ++busy_;
  started_.insert(item.attempt);
  ++executions_[item.request_id];
  const SteadyTime start = Now();
  const bool stopped =
      changed_.wait_until(lock, start + item.service_time,
                          [&] { return cancelled_.contains(item.attempt); });
  const SteadyTime end = Now();
  --busy_;
  changed_.notify_all();
  stats_.busy_time += end - start;
  if (stopped || end > item.deadline) {
    stats_.wasted_time += end - start;
  }
  if (stopped) {
    ++stats_.cancelled_running;
    return WorkResult::kCancelled;
  }
  ++stats_.done;
  return WorkResult::kDone;
}

bool WorkQueue::Cancel(uint64_t attempt) {
  std::lock_guard lock(mutex_);
  cancelled_.insert(attempt);
  changed_.notify_all();
  return !started_.contains(attempt);
}

WorkStats WorkQueue::Stats() const {
  std::lock_guard lock(mutex_);
  WorkStats stats = stats_;
  stats.queue_length = waiting_.size();
  return stats;
}

size_t WorkQueue::QueueLengthAt(SteadyTime time) const {
  std::lock_guard lock(mutex_);
  auto after = std::upper_bound(
      queue_lengths_.begin(), queue_lengths_.end(), time,
      [](SteadyTime t, const auto& entry) { return t < entry.first; });
  return after == queue_lengths_.begin() ? 0 : std::prev(after)->second;
}

std::map<std::string, uint64_t> WorkQueue::Executions() const {
  std::lock_guard lock(mutex_);
  return executions_;
}

void WorkQueue::RecordQueueLength() {
  const SteadyTime now = Now();
  queue_lengths_.emplace_back(now, waiting_.size());
  stats_.max_queue_length = std::max(stats_.max_queue_length, waiting_.size());
  // Keeps the last entry before the start of the history, which holds the
  // length at that time.
  while (queue_lengths_.size() > 1 &&
         queue_lengths_[1].first < now - kQueueLengthHistory) {
    queue_lengths_.pop_front();
  }
}

}  // namespace gooseberryrock::standin
