// Test cluster of control VMs and entry nodes as processes on loopback
// addresses. Stand-in backend servers, which use the platform's protocol, run
// in the test process.

#ifndef GOOSEBERRYROCK_TESTS_PROCESS_TIER_CLUSTER_H_
#define GOOSEBERRYROCK_TESTS_PROCESS_TIER_CLUSTER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
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
inline constexpr size_t kServersPerService = 2;

struct TierOptions {
  // Connections that each server accepts from all nodes.
  uint32_t connection_limit = 30;
  // All servers are in the failure domain of the first entry node, instead of
  // in each domain in turn.
  bool servers_in_first_domain = false;
  // Requests per second that a cold server takes from all nodes together; 0 if
  // the services name no rate.
  int cold_rate = 0;
  // Further numbers in the settings of all nodes.
  std::map<std::string, int> settings = {};
  // Limit on the open descriptors of each process; 0 leaves the limit of the
  // test.
  unsigned descriptors = 0;
};

// Addresses that the processes of a TierCluster listen on.
struct TierAddresses {
  std::string host;
  uint16_t callers = 0;
  uint16_t control = 0;
  uint16_t metrics = 0;
  uint16_t ready = 0;
  uint16_t gather = 0;
};
TierAddresses EntryAddresses(size_t i);
TierAddresses ControlAddresses(size_t i);

class TierCluster {
 public:
  // Clears `folder` and starts the processes with their files in it.
  explicit TierCluster(const std::string& folder, TierOptions options = {});
  TierCluster(const TierCluster&) = delete;
  TierCluster& operator=(const TierCluster&) = delete;
  ~TierCluster();

  void StartControl(size_t i, bool first_start);
  void StartEntry(size_t i);
  Process& Control(size_t i) { return *controls_[i]; }
  Process& Entry(size_t i) { return *entries_[i]; }
  // Deletes the data folder of a control VM, which must not be running.
  void DeleteControlData(size_t i);
  // Runs `gbrnode recover` on the data folder of a control VM and makes it the
  // sole voter. Returns whether the command succeeded.
  bool RecoverControl(size_t i);

  // Sends one request. Returns nullopt when no response arrives within
  // `timeout`.
  std::optional<transport::Response> Call(
      const std::string& host,
      uint16_t port,
      transport::Request request,
      Duration timeout = std::chrono::seconds(2));
  std::optional<transport::Response> CallControl(size_t i,
                                                 const std::string& method,
                                                 const std::string& path,
                                                 const std::string& body = "");
  // Sends a caller's request with a new request id. The caller waits for the
  // response for `timeout`, and half a second less according to the request.
  std::optional<transport::Response> SendRequest(
      size_t entry,
      const std::string& method,
      const std::string& path,
      Duration timeout = std::chrono::seconds(2));

  // Further calls of PutRoutes() include this JSON list of organisations.
  void SetOrganisations(const std::string& organisations);
  // Further requests of callers have this key; none if it is empty.
  void SetCallerKey(const std::string& key);
  // The output of all nodes and control VMs.
  std::string Logs() const;
  // Submits routes with `version` to the control VMs in turn until one
  // acknowledges them.
  bool PutRoutes(uint64_t version);
  // Returns the version of the routes that a control VM reports; 0 when it
  // cannot confirm that they are current.
  uint64_t ReadRoutesVersion(size_t control);
  // Sends requests until the entry node returns a complete answer with status
  // 200. Returns false when it does not within `timeout`.
  bool WaitForCompleteAnswer(size_t entry, Duration timeout);
  // Return the metrics page; empty when it is not served.
  std::string EntryMetrics(size_t i);
  std::string ControlMetrics(size_t i);
  // While set, the stand-in servers do not announce themselves.
  void SetAnnouncementsPaused(bool paused) { announcements_paused_ = paused; }
  // Fault of the stand-in servers of the service `s<service>` for all further
  // requests.
  enum class ServerFault { kNone, kNoResponse, kCloseConnection };
  void SetFault(size_t service, ServerFault fault);
  // A request that crashed a server.
  struct Crash {
    std::string request_id;
    SteadyTime at;
  };
  // From now on a server that gets a request for `target` crashes: it closes
  // its connections and refuses new ones until it starts again, half a second
  // later.
  void CrashOn(const std::string& target);
  std::vector<Crash> Crashes();
  // From now on server `i` of the service is announced as a process on another
  // port of 127.0.0.1.
  void AnnounceAt(size_t service, size_t i, uint16_t port);
  // From now on server `i` of the service adds the field to its replies, which
  // have `status`, and the times of its requests are recorded.
  void SetReplyField(size_t service,
                     size_t i,
                     const std::string& name,
                     const std::string& value,
                     boost::beast::http::status status);
  // From now on server `i` of the service announces that it is cold, or warm.
  void SetCold(size_t service, size_t i, bool cold);
  // Returns when server `i` of the service got each request since then.
  std::vector<SteadyTime> ArrivalsAt(size_t service, size_t i);
  // Returns the output of `gbrctl explain` for the last request of
  // SendRequest().
  std::string ExplainLastRequest();
  // Returns how often the stand-in servers ran each non-idempotent request.
  std::map<std::string, int> Executions();
  // Returns the header fields of all requests that the stand-in servers got.
  std::vector<std::string> ServerRequests();

 private:
  struct ReplyField {
    std::string name;
    std::string value;
    boost::beast::http::status status;
  };

  void WriteSettings(const std::string& path,
                     const std::string& name,
                     const std::string& host,
                     const std::string& data_folder,
                     bool first_start) const;
  // Starts a program with the limits of the options.
  std::unique_ptr<Process> Start(std::vector<std::string> arguments,
                                 const std::string& log_path) const;
  std::string FetchMetrics(const std::string& host);
  void HandleServerRequest(
      size_t server,
      const std::shared_ptr<transport::Exchange>& exchange);
  std::unique_ptr<transport::WebServer> MakeServer(size_t server,
                                                   uint16_t port);
  void CrashServer(size_t server,
                   const std::shared_ptr<transport::Exchange>& exchange);
  void RestartCrashedServers();
  void RunAnnouncer();

  const std::string folder_;
  const TierOptions options_;
  transport::IoThread io_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::map<std::string, int> executions_;
  std::vector<std::string> server_requests_;
  std::string organisations_;
  std::string caller_key_;
  std::map<size_t, ServerFault> faults_;
  // By server.
  std::map<size_t, ReplyField> reply_fields_;
  std::map<size_t, std::vector<SteadyTime>> arrivals_;
  std::vector<std::shared_ptr<transport::Exchange>> unanswered_;
  std::string crash_target_;
  std::vector<Crash> crashes_;
  // When crashed servers start again.
  std::map<size_t, SteadyTime> restart_at_;
  std::map<size_t, uint64_t> restarts_;
  std::map<size_t, uint16_t> announced_ports_;
  std::set<size_t> cold_servers_;
  std::vector<std::unique_ptr<transport::WebServer>> servers_;
  // Ended servers; they can be destroyed only after the I/O thread.
  std::vector<std::unique_ptr<transport::WebServer>> ended_servers_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::atomic<uint64_t> next_request_ = 1;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> announcements_paused_ = false;
  std::thread announcer_;
};

// Returns the value of the metric `name`, which includes its labels, on a page;
// nullopt when the page does not contain it.
std::optional<double> MetricValue(const std::string& page,
                                  const std::string& name);

}  // namespace gooseberryrock::process_test

#endif  // GOOSEBERRYROCK_TESTS_PROCESS_TIER_CLUSTER_H_
