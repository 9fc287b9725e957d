// Threads for blocking handlers.

#include "gooseberryrock/transport/worker_pool.h"

#include <utility>

namespace gooseberryrock::transport {

WorkerPool::WorkerPool(unsigned threads, size_t max_queued)
    : max_queued_(max_queued) {
  for (unsigned i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

WorkerPool::~WorkerPool() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& it : threads_) {
    it.join();
  }
}

bool WorkerPool::Post(std::function<void()> task) {
  {
    std::lock_guard lock(mutex_);
    if (tasks_.size() >= max_queued_) {
      return false;
    }
    tasks_.push_back(std::move(task));
  }
  changed_.notify_one();
  return true;
}

void WorkerPool::Run() {
  while (true) {
    std::function<void()> task;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (stopping_) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

}  // namespace gooseberryrock::transport
