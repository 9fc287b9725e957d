// Child process that a test starts, signals and waits for.

#ifndef GOOSEBERRYROCK_TESTS_PROCESS_PROCESS_H_
#define GOOSEBERRYROCK_TESTS_PROCESS_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::process_test {

class Process {
 public:
  // Starts the program `arguments[0]` and writes its standard output and error
  // to the file `log_path`.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_path);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  // Kills the process if it is still running.
  ~Process();

  // Does nothing when the process has exited.
  void Signal(int signal) const;
  // Returns the wait status of the process; nullopt when it is still running
  // after `timeout`.
  std::optional<int> WaitForExit(Duration timeout);
  // The greatest resident memory that the process has had, in bytes; 0 if it
  // has exited.
  size_t PeakMemory() const;
  // Number of file descriptors that the process has open; 0 if it has exited.
  size_t OpenDescriptors() const;
  bool running() { return !WaitForExit(Duration::zero()).has_value(); }

 private:
  pid_t pid_ = -1;
  // Refers to this process even when the kernel reuses its process id.
  int pidfd_ = -1;
  std::optional<int> status_;
};

}  // namespace gooseberryrock::process_test

#endif  // GOOSEBERRYROCK_TESTS_PROCESS_PROCESS_H_
