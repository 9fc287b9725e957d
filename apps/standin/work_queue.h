// The slots of a stand-in backend server and the subqueries that wait for one.

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
  // Work that has not started by then is dropped.
  SteadyTime deadline = SteadyTime::max();
  uint64_t max_queue = 0;
};

enum class WorkResult {
  kDone,
  // The work did not run.
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
  size_t longest_queue = 0;
  Duration busy_time = Duration::zero();
  // Part of `busy_time` spent on work that was cancelled or ended after its
  // deadline.
  Duration wasted_time = Duration::zero();
};

class WorkQueue {
 public:
  explicit WorkQueue(uint32_t slots) : slots_(slots) {}

  // Waits for a slot in order of arrival and holds it for the service time.
  WorkResult Run(const WorkItem& item);

  // Stops the attempt. Returns whether it did not and will not run.
  bool Cancel(uint64_t attempt);

  WorkStats Stats() const;
  // The queue length that was right at `time`, for at most a minute back.
  size_t QueueLengthAt(SteadyTime time) const;
  // Number of executions started for each request id.
  std::map<std::string, uint64_t> Executions() const;

 private:
  // Both are called with the lock held.
  WorkResult RunInSlot(const WorkItem& item,
                       std::unique_lock<std::mutex>& lock);
  void NoteQueueLength();

  const uint32_t slots_;
  mutable std::mutex mutex_;
  // All members below are guarded by `mutex_`.
  uint32_t busy_ = 0;
  std::list<uint64_t> waiting_;
  // Attempts that started, and attempts to stop or not to start.
  std::set<uint64_t> started_;
  std::set<uint64_t> cancelled_;
  std::map<std::string, uint64_t> executions_;
  std::deque<std::pair<SteadyTime, size_t>> lengths_;
  WorkStats stats_;
  std::condition_variable changed_;
};

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_WORK_QUEUE_H_
