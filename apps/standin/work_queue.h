// Execution slots of a stand-in backend server with a queue of waiting
// subqueries.

#ifndef GOOSEBERRYROCK_APPS_STANDIN_WORK_QUEUE_H_
#define GOOSEBERRYROCK_APPS_STANDIN_WORK_QUEUE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::standin {

struct WorkItem {
  uint64_t attempt = 0;
  std::string request_id;
  Duration service_time = Duration::zero();
  // Work that has not started by this time is dropped.
  SteadyTime deadline = SteadyTime::max();
  uint64_t max_queue = 0;
};

enum class WorkResult {
  kDone,
  // The work did not start.
  kRefused,
  // The work was cancelled while it ran.
  kCancelled,
};

struct WorkStats {
  uint64_t done = 0;
  // Refused because of a full queue, a passed deadline or a cancellation.
  uint64_t refused = 0;
  uint64_t refused_late = 0;
  uint64_t cancelled_waiting = 0;
  uint64_t cancelled_running = 0;
  size_t queue_length = 0;
  size_t max_queue_length = 0;
  Duration busy_time = Duration::zero();
  // Part of `busy_time` spent on work that was cancelled or ended after its
  // deadline.
  Duration wasted_time = Duration::zero();
};

class WorkQueue {
 public:
  explicit WorkQueue(uint32_t slots) : slots_(slots) {}

  // Waits for a slot in order of arrival and occupies it for the service time.
  WorkResult Run(const WorkItem& item);

  // Cancels the attempt. Returns whether it has not started, in which case it
  // never will.
  bool Cancel(uint64_t attempt);

  WorkStats Stats() const;
  // Returns the queue length at `time`, which may be up to a minute ago.
  size_t QueueLengthAt(SteadyTime time) const;
  // Returns the number of started executions for each request id.
  std::map<std::string, uint64_t> Executions() const;

 private:
  // The caller must hold the lock for both.
  WorkResult RunInSlot(const WorkItem& item,
                       std::unique_lock<std::mutex>& lock);
  void RecordQueueLength();

  const uint32_t slots_;
  mutable std::mutex mutex_;
  // All members below are guarded by `mutex_`.
  uint32_t busy_ = 0;
  std::list<uint64_t> waiting_;
  // Attempts that have started, and attempts that were cancelled before or
  // while they ran.
  std::set<uint64_t> started_;
  std::set<uint64_t> cancelled_;
  std::map<std::string, uint64_t> executions_;
  std::deque<std::pair<SteadyTime, size_t>> queue_lengths_;
  WorkStats stats_;
  std::condition_variable changed_;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_WORK_QUEUE_H_
