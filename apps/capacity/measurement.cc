// Processor time and memory of this process.

#include "measurement.h"

#include <malloc.h>
#include <sys/resource.h>

#include <chrono>

namespace gooseberryrock::capacity {

namespace {

Duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::microseconds(time.tv_usec);
}

}  // namespace

Duration ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

double Microseconds(const std::function<void()>& work) {
  const Duration before = ProcessorTime();
  work();
  return std::chrono::duration<double, std::micro>(ProcessorTime() - before)
      .count();
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

}  // namespace gooseberryrock::capacity
