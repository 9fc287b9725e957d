// A small deployment on loopback addresses: the project's control VMs and entry
// nodes as processes, and stand-ins for backend servers, callers and operators.

#ifndef GOOSEBERRYROCK_REVIEW_STANDIN_TIER_H_
#define GOOSEBERRYROCK_REVIEW_STANDIN_TIER_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace gooseberryrock::review {

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

// What was sent, answered and run, one event a line. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& event, const std::string& details);
  // Milliseconds since the start of the record.
  int64_t Now() const;

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::ofstream file_;
};

// A process of the project.
class Node {
 public:
  Node(std::string program, std::string role, std::string settings);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  // Kills the process.
  ~Node();

  void Start();
  void Signal(int number);
  // SIGKILL, and waits for the end.
  void Kill();
  // Returns the wait status once the process has ended.
  std::optional<int> Ended();

 private:
  const std::string program_;
  const std::string role_;
  const std::string settings_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

struct BackendOptions {
  std::string service;
  std::string zone;
  unsigned slots = 2;
};

// A backend server: announces itself and answers requests that name it.
class Backend {
 public:
  // Runs a request; returns nullopt to crash without an answer.
  using Work = std::function<std::optional<Response>(const Request&)>;

  Backend(const BackendOptions& options,
          std::string id,
          std::vector<Address> controls,
          Record& record,
          Work work);
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;
  ~Backend();

  const std::string& id() const { return id_; }
  // Ends like a crashed process and starts again, as a new process under the
  // same id, after `down`.
  void CrashFor(std::chrono::milliseconds down);

 private:
  std::optional<Response> Handle(const Request& request);
  void Announce();
  bool Beat(const Address& control);

  const BackendOptions options_;
  const std::string id_;
  const std::vector<Address> controls_;
  Record& record_;
  const Work work_;
  std::atomic<int64_t> born_;
  std::atomic<int64_t> down_until_ = 0;
  std::atomic<bool> down_ = false;
  std::atomic<bool> stopping_ = false;
  std::atomic<uint64_t> sequence_ = 0;
  std::atomic<unsigned> running_ = 0;
  Server server_;
  std::thread announcer_;
};

struct TierOptions {
  std::string program;
  std::string folder;
  std::vector<std::string> control_zones;
  std::vector<std::string> entry_zones;
};

class Tier {
 public:
  Tier(const TierOptions& options, Record& record);

  Node& Control(size_t i) { return *controls_[i]; }
  Node& Entry(size_t i) { return *entries_[i]; }
  Address EntryAddress(size_t i) const;
  Address ControlAddress(size_t i) const;
  std::vector<Address> ControlAddresses() const;
  // What the process has logged so far.
  std::string ControlLog(size_t i) const;
  // Starts the processes with empty disks.
  void Start();
  // Starts one process again.
  void RestartControl(size_t i);
  void RestartEntry(size_t i);
  // Sends the config to the control VMs in turn until one confirms it.
  bool PutConfig(const std::string& config);
  // Whether all entry nodes get ready within `timeout`.
  bool WaitUntilReady(std::chrono::seconds timeout);

 private:
  void WriteSettings(const std::string& name,
                     const std::string& host,
                     const std::string& zone,
                     bool first_start) const;
  std::string SettingsPath(const std::string& name) const;

  const TierOptions options_;
  Record& record_;
  std::vector<std::string> control_hosts_;
  std::vector<std::string> entry_hosts_;
  uint16_t peer_port_ = 0;
  uint16_t gather_port_ = 0;
  uint16_t control_port_ = 0;
  uint16_t caller_port_ = 0;
  uint16_t ready_port_ = 0;
  std::vector<std::unique_ptr<Node>> controls_;
  std::vector<std::unique_ptr<Node>> entries_;
};

// A new id in the form of the callers' request ids.
std::string NewRequestId();

// The digest of a reply of `server` to `request`.
std::string Digest(const std::string& server, const Request& request);

// `value` in the text of an environment variable, or `fallback`.
std::string Environment(const char* name, const std::string& fallback);

}  // namespace gooseberryrock::review

#endif  // GOOSEBERRYROCK_REVIEW_STANDIN_TIER_H_
