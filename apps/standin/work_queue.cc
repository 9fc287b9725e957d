// The slots of a stand-in backend server and the subqueries that wait for one.

#include "work_queue.h"

#include <algorithm>
#include <chrono>

namespace gooseberryrock::standin {

namespace {

constexpr Duration kLengthHistory = std::chrono::minutes(1);

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
  auto place = waiting_.insert(waiting_.end(), item.attempt);
  NoteQueueLength();
  const auto cancelled = [&] { return cancelled_.contains(item.attempt); };
  const auto may_leave = [&] {
    return cancelled() || (busy_ < slots_ && place == waiting_.begin());
  };
  // The year 2262 of time_point::max() overflows in wait_until().
  if (item.deadline == SteadyTime::max()) {
    changed_.wait(lock, may_leave);
  } else {
    changed_.wait_until(lock, item.deadline, may_leave);
  }
  const bool late = Now() >= item.deadline;
  const bool stop = cancelled() || late;
  waiting_.erase(place);
  NoteQueueLength();
  changed_.notify_all();
  if (stop) {
    ++stats_.refused;
    stats_.refused_late += late ? 1 : 0;
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
  const SteadyTime begun = Now();
  const bool stopped =
      changed_.wait_until(lock, begun + item.service_time,
                          [&] { return cancelled_.contains(item.attempt); });
  const SteadyTime ended = Now();
  --busy_;
  changed_.notify_all();
  stats_.busy_time += ended - begun;
  if (stopped || ended > item.deadline) {
    stats_.wasted_time += ended - begun;
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
      lengths_.begin(), lengths_.end(), time,
      [](SteadyTime t, const auto& entry) { return t < entry.first; });
  return after == lengths_.begin() ? 0 : std::prev(after)->second;
}

std::map<std::string, uint64_t> WorkQueue::Executions() const {
  std::lock_guard lock(mutex_);
  return executions_;
}

void WorkQueue::NoteQueueLength() {
  const SteadyTime now = Now();
  lengths_.emplace_back(now, waiting_.size());
  stats_.longest_queue = std::max(stats_.longest_queue, waiting_.size());
  // Keeps the entry that was right at the start of the history.
  while (lengths_.size() > 1 && lengths_[1].first < now - kLengthHistory) {
    lengths_.pop_front();
  }
}

}  // namespace gooseberryrock::standin
