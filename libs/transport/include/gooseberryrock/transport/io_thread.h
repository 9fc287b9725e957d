// A thread that runs the event loop of one I/O shard.

#ifndef GOOSEBERRYROCK_TRANSPORT_IO_THREAD_H_
#define GOOSEBERRYROCK_TRANSPORT_IO_THREAD_H_

#include <functional>
#include <memory>

#include "gooseberryrock/base/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gooseberryrock::transport {

class IoThread {
 public:
  IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;
  // Stops the thread; pending handlers are discarded.
  ~IoThread();

  boost::asio::io_context& context();

  // Runs `task` on the thread. Thread-safe.
  void Post(std::function<void()> task);

  // Runs `task` on the thread every `interval` until the thread stops.
  void Every(Duration interval, std::function<void()> task);

  // Stops running handlers. Must be called before the objects that they use are
  // destroyed.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_IO_THREAD_H_
