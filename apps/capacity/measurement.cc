// Measures processor time and heap usage of this process.

#include "measurement.h"

#include <malloc.h>

#include <chrono>
#include <ctime>

namespace gooseberryrock::capacity {

Duration ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

double MeasureMicroseconds(const std::function<void()>& work) {
  const Duration before = ProcessorTime();
  work();
  return std::chrono::duration<double, std::micro>(ProcessorTime() - before)
      .count();
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

}  // namespace gooseberryrock::capacity
