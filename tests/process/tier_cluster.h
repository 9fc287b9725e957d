// Control VMs and entry nodes as processes on loopback addresses, with stand-in
// backend servers in this process that speak the platform's protocol.

#ifndef GOOSEBERRYROCK_TESTS_PROCESS_TIER_CLUSTER_H_
#define GOOSEBERRYROCK_TESTS_PROCESS_TIER_CLUSTER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/transport/http_message.h"
#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/web_server.h"
#include "process.h"

namespace gooseberryrock::process_test {

inline constexpr size_t kControlVms = 3;
inline constexpr size_t kEntryNodes = 2;

class TierCluster {
 public:
  // Starts the processes in `folder`, which is emptied.
  explicit TierCluster(const std::string& folder);
  TierCluster(const TierCluster&) = delete;
  TierCluster& operator=(const TierCluster&) = delete;
  ~TierCluster();

  void StartControl(size_t i, bool first_start);
  void StartEntry(size_t i);
  Process& Control(size_t i) { return *controls_[i]; }
  Process& Entry(size_t i) { return *entries_[i]; }
  // Removes what the control VM has on disk; it must not run.
  void WipeControl(size_t i);

  // The response of one call; nothing when none came within `timeout`.
  std::optional<transport::Response> Call(
      const std::string& host,
      uint16_t port,
      transport::Request request,
      Duration timeout = std::chrono::seconds(2));
  std::optional<transport::Response> CallControl(size_t i,
                                                 const std::string& method,
                                                 const std::string& path,
                                                 const std::string& body = "");
  // A request of a caller with an id of its own.
  std::optional<transport::Response> Ask(size_t entry,
                                         const std::string& method,
                                         const std::string& path);

  // Puts routes under `version` at any control VM until one acknowledges them.
  bool PutRoutes(uint64_t version);
  // The version of the routes that a control VM reads; 0 when it is not sure.
  uint64_t ReadVersion(size_t control);
  // Asks until the entry node answers with status 200 or `timeout` has passed.
  bool WaitForService(size_t entry, Duration timeout);
  // The metrics pages; empty when they are not served.
  std::string EntryMetrics(size_t i);
  std::string ControlMetrics(size_t i);
  // The stand-in servers announce themselves unless this is set.
  void SetSilent(bool silent) { silent_ = silent; }
  // How the stand-in servers of service `s<service>` treat requests from now
  // on.
  enum class ServerFault { kNone, kNoAnswer, kCloses };
  void SetFault(size_t service, ServerFault fault);
  // The output of `gbrctl explain` for the last request of Ask().
  std::string ExplainLast();
  // How often the stand-in servers ran each request that must not run twice.
  std::map<std::string, int> Executions();

 private:
  void WriteSettings(const std::string& path,
                     const std::string& name,
                     const std::string& host,
                     const std::string& data_folder,
                     bool first_start) const;
  std::string Metrics(const std::string& host);
  void AnswerAsServer(size_t server,
                      const std::shared_ptr<transport::Exchange>& exchange);
  void Announce();

  const std::string folder_;
  transport::IoThread io_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::map<std::string, int> executions_;
  std::map<size_t, ServerFault> faults_;
  std::vector<std::shared_ptr<transport::Exchange>> unanswered_;
  std::vector<std::unique_ptr<transport::WebServer>> servers_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::atomic<uint64_t> next_request_ = 1;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> silent_ = false;
  std::thread announcer_;
};

}  // namespace gooseberryrock::process_test

#endif  // GOOSEBERRYROCK_TESTS_PROCESS_TIER_CLUSTER_H_
