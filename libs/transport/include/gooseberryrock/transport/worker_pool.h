// Threads for blocking handlers, which must not run on an I/O thread.

#ifndef GOOSEBERRYROCK_TRANSPORT_WORKER_POOL_H_
#define GOOSEBERRYROCK_TRANSPORT_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace gooseberryrock::transport {

class WorkerPool {
 public:
  WorkerPool(unsigned threads, size_t max_queued);
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;
  // Discards the tasks that have not started.
  ~WorkerPool();

  // Returns false if the queue is full.
  bool Post(std::function<void()> task);

 private:
  void Run();

  const size_t max_queued_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::condition_variable changed_;
  std::vector<std::thread> threads_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_WORKER_POOL_H_
