// A thread that runs the event loop of one I/O shard.

#include "gooseberryrock/transport/io_thread.h"

#include <pthread.h>

#include <csignal>
#include <list>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace gooseberryrock::transport {

namespace asio = boost::asio;

namespace {

struct PeriodicTask {
  explicit PeriodicTask(asio::io_context& context) : timer(context) {}

  asio::steady_timer timer;
  Duration interval = Duration::zero();
  std::function<void()> task;
};

void Arm(PeriodicTask& periodic_task) {
  periodic_task.timer.expires_after(periodic_task.interval);
  periodic_task.timer.async_wait(
      [&periodic_task](const boost::system::error_code& ec) {
        if (!ec) {
          periodic_task.task();
          Arm(periodic_task);
        }
      });
}

}  // namespace

struct IoThread::Impl {
  Impl() : context(1), work(asio::make_work_guard(context)) {
    thread = std::thread([this] {
      // Only the main thread handles signals.
      sigset_t signals;
      sigfillset(&signals);
      pthread_sigmask(SIG_BLOCK, &signals, nullptr);
      context.run();
    });
  }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  // Used on `thread` only.
  std::list<PeriodicTask> periodic_tasks;
  std::thread thread;
};

IoThread::IoThread() : impl_(std::make_unique<Impl>()) {}

IoThread::~IoThread() {
  Stop();
}

asio::io_context& IoThread::context() {
  return impl_->context;
}

void IoThread::Post(std::function<void()> task) {
  asio::post(impl_->context, std::move(task));
}

void IoThread::Every(Duration interval, std::function<void()> task) {
  Post([this, interval, task = std::move(task)] {
    PeriodicTask& added = impl_->periodic_tasks.emplace_back(impl_->context);
    added.interval = interval;
    added.task = task;
    Arm(added);
  });
}

void IoThread::Stop() {
  impl_->context.stop();
  if (impl_->thread.joinable()) {
    impl_->thread.join();
  }
}

}  // namespace gooseberryrock::transport
