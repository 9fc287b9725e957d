// A child process of a test.

#ifndef GOOSEBERRYROCK_TESTS_PROCESS_PROCESS_H_
#define GOOSEBERRYROCK_TESTS_PROCESS_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::process_test {

class Process {
 public:
  // Starts the program `arguments[0]`; its output goes to the file `log_path`.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_path);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  // Kills the process when it still runs.
  ~Process();

  // Does nothing when the process has ended.
  void Signal(int signal) const;
  // The wait status of the process; nothing when it still runs after `timeout`.
  std::optional<int> WaitForEnd(Duration timeout);
  bool running() { return !WaitForEnd(Duration::zero()).has_value(); }

 private:
  pid_t pid_ = -1;
  // Refers to the process also after its id is used again.
  int pidfd_ = -1;
  std::optional<int> status_;
};

}  // namespace gooseberryrock::process_test

#endif  // GOOSEBERRYROCK_TESTS_PROCESS_PROCESS_H_
