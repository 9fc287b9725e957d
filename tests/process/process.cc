// Child process that a test starts, signals and waits for.

#include "process.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace gooseberryrock::process_test {

namespace {

constexpr int kExecFailedExitCode = 127;

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  const int log =
      ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // A listening socket of the test would stay open in the child process.
    ::syscall(SYS_close_range, STDERR_FILENO + 1, ~0U, 0);
    ::execv(argv[0], argv.data());
    ::_exit(kExecFailedExitCode);
  }
  ::close(log);
  EXPECT_GT(pid_, 0);
  pidfd_ = static_cast<int>(::syscall(SYS_pidfd_open, pid_, 0));
  EXPECT_GE(pidfd_, 0);
}

Process::~Process() {
  Signal(SIGKILL);
  WaitForExit(std::chrono::seconds(5));
  ::close(pidfd_);
}

void Process::Signal(int signal) const {
  if (!status_) {
    ::syscall(SYS_pidfd_send_signal, pidfd_, signal, nullptr, 0);
  }
}

size_t Process::PeakMemory() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  size_t kilobytes = 0;
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      status >> kilobytes;
    }
  }
  return kilobytes << 10U;
}

size_t Process::OpenDescriptors() const {
  std::error_code ec;
  const std::filesystem::directory_iterator it(
      "/proc/" + std::to_string(pid_) + "/fd", ec);
  return ec ? 0
            : static_cast<size_t>(
                  std::distance(begin(it), std::filesystem::end(it)));
}

std::optional<int> Process::WaitForExit(Duration timeout) {
  if (status_) {
    return status_;
  }
  pollfd fd{pidfd_, POLLIN, 0};
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
  int status = 0;
  if (::poll(&fd, 1, static_cast<int>(wait)) > 0 &&
      ::waitpid(pid_, &status, 0) == pid_) {
    status_ = status;
  }
  return status_;
}

}  // namespace gooseberryrock::process_test
