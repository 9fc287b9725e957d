// Test cluster of control VMs and entry nodes as processes on loopback
// addresses.

#include "tier_cluster.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>

#include <nlohmann/json.hpp>

#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/exchange.h"
#include "gooseberryrock/transport/server_connection.h"
#include "gooseberryrock/transport/transport_error.h"

namespace gooseberryrock::process_test {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr size_t kShards = 3;
constexpr uint16_t kPeerPort = 21740;
constexpr uint16_t kGatherPort = 21755;
constexpr uint16_t kControlPort = 21224;
constexpr uint16_t kCallerPort = 21226;
constexpr uint16_t kReadyPort = 21227;
constexpr uint16_t kMetricsPort = 21228;
// From the crash of a server to its next start.
constexpr Duration kRestartTime = milliseconds(500);
constexpr size_t kMaxBodyBytes = size_t{4} << 20U;

std::string ControlHost(size_t i) {
  return "127.0.3." + std::to_string(i + 1);
}

std::string EntryHost(size_t i) {
  return "127.0.4." + std::to_string(i + 1);
}

std::string FailureDomainName(size_t i) {
  return std::string(1, static_cast<char>('a' + i % kControlVms));
}

// Services 0 to kShards - 1 are the shards. The last one serves requests that
// are not fanned out.
std::string ServiceName(size_t server) {
  return "s" + std::to_string(server / kServersPerService);
}

constexpr size_t kServers = (kShards + 1) * kServersPerService;

json MakeRoutesDocument(uint64_t version, const TierOptions& options) {
  json shards = json::array();
  json services = json::array();
  for (size_t i = 0; i <= kShards; ++i) {
    const std::string name = "s" + std::to_string(i);
    if (i < kShards) {
      shards.push_back(name);
    }
    json service = {{"name", name},
                    {"max_connections", options.connection_limit}};
    if (options.cold_rate > 0) {
      service["warmup_per_s"] = options.cold_rate;
    }
    services.push_back(std::move(service));
  }
  const auto route = [](const std::string& name, const std::string& prefix) {
    return json{{"name", name},          {"hostname", "h"},
                {"path_prefix", prefix}, {"timeout_ms", 2000},
                {"attempts", 2},         {"target_latency_ms", 200},
                {"priority", 1}};
  };
  json gathered = route("gathered", "/all/");
  gathered["route_type"] = "idempotent";
  gathered["shard_services"] = shards;
  gathered["top_k"] = 2;
  gathered["min_coverage"] = 0.6;
  json single = route("single", "/one/");
  single["route_type"] = "non_idempotent";
  single["service"] = "s" + std::to_string(kShards);
  return {{"version", version},
          {"routes", {gathered, single}},
          {"services", services}};
}

}  // namespace

TierAddresses EntryAddresses(size_t i) {
  return {EntryHost(i), kCallerPort, 0, kMetricsPort, kReadyPort, kGatherPort};
}

TierAddresses ControlAddresses(size_t i) {
  return {ControlHost(i), 0, kControlPort, kMetricsPort, 0, 0};
}

TierCluster::TierCluster(const std::string& folder, TierOptions options)
    : folder_(folder), options_(std::move(options)) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  for (size_t i = 0; i < kServers; ++i) {
    servers_.push_back(MakeServer(i, 0));
  }
  controls_.resize(kControlVms);
  entries_.resize(kEntryNodes);
  for (size_t i = 0; i < kControlVms; ++i) {
    StartControl(i, /*first_start=*/true);
  }
  for (size_t i = 0; i < kEntryNodes; ++i) {
    StartEntry(i);
  }
  announcer_ = std::thread([this] { RunAnnouncer(); });
}

TierCluster::~TierCluster() {
  stopping_ = true;
  announcer_.join();
  io_.Stop();
}

std::unique_ptr<transport::WebServer> TierCluster::MakeServer(size_t server,
                                                              uint16_t port) {
  return std::make_unique<transport::WebServer>(
      std::vector<transport::IoThread*>{&io_},
      transport::Endpoint{"127.0.0.1", port}, transport::WebLimits(),
      [this, server](size_t, const std::shared_ptr<transport::Exchange>& it) {
        HandleServerRequest(server, it);
      });
}

void TierCluster::CrashOn(const std::string& target) {
  std::lock_guard lock(mutex_);
  crash_target_ = target;
}

std::vector<TierCluster::Crash> TierCluster::Crashes() {
  std::lock_guard lock(mutex_);
  return crashes_;
}

void TierCluster::AnnounceAt(size_t service, size_t i, uint16_t port) {
  std::lock_guard lock(mutex_);
  const size_t server = service * kServersPerService + i;
  announced_ports_[server] = port;
  // Ends the process that the new one replaces.
  servers_[server]->StopAccepting();
  ++restarts_[server];
}

void TierCluster::CrashServer(
    size_t server,
    const std::shared_ptr<transport::Exchange>& exchange) {
  const SteadyTime now = std::chrono::steady_clock::now();
  crashes_.push_back({exchange->request()["X-Request-Id"].to_string(), now});
  if (restart_at_.emplace(server, now + kRestartTime).second) {
    servers_[server]->StopAccepting();
  }
  // The connection is closed after the server has stopped listening.
  io_.Post([exchange] {});
}

void TierCluster::RestartCrashedServers() {
  std::lock_guard lock(mutex_);
  std::erase_if(restart_at_, [this](const auto& it) {
    const auto& [server, at] = it;
    if (std::chrono::steady_clock::now() < at) {
      return false;
    }
    std::unique_ptr<transport::WebServer> started;
    try {
      started = MakeServer(server, servers_[server]->port());
    } catch (const transport::TransportError&) {
      // Another connection has the port as its local one; tried again later.
      return false;
    }
    ended_servers_.push_back(std::move(servers_[server]));
    servers_[server] = std::move(started);
    ++restarts_[server];
    return true;
  });
}

void TierCluster::WriteSettings(const std::string& path,
                                const std::string& name,
                                const std::string& host,
                                const std::string& data_folder,
                                bool first_start) const {
  json settings = {
      {"cluster", "test"},
      {"cluster_key", "a-cluster-key-for-tests-on-loopback"},
      {"name", name},
      {"address", host},
      {"failure_domain",
       FailureDomainName(static_cast<size_t>(host.back() - '1'))},
      {"peer_port", kPeerPort},
      {"gather_port", kGatherPort},
      {"first_start", first_start},
      {"data_folder", data_folder},
      {"control_address", host + ":" + std::to_string(kControlPort)},
      {"caller_address", host + ":" + std::to_string(kCallerPort)},
      {"ready_address", host + ":" + std::to_string(kReadyPort)},
      {"metrics_address", host + ":" + std::to_string(kMetricsPort)},
      {"stop_time_s", 4}};
  for (const auto& [name_of_field, value] : options_.settings) {
    settings[name_of_field] = value;
  }
  for (size_t i = 0; i < kControlVms; ++i) {
    settings["control_vms"].push_back(ControlHost(i) + ":" +
                                      std::to_string(kControlPort));
  }
  std::ofstream(path) << settings.dump();
}

std::unique_ptr<Process> TierCluster::Start(std::vector<std::string> arguments,
                                            const std::string& log_path) const {
  if (options_.descriptors > 0) {
    const std::string script = "ulimit -n " +
                               std::to_string(options_.descriptors) +
                               " && exec \"$0\" \"$@\"";
    arguments.insert(arguments.begin(), {"/bin/sh", "-c", script});
  }
  return std::make_unique<Process>(arguments, log_path);
}

void TierCluster::StartControl(size_t i, bool first_start) {
  const std::string name = "control-" + std::to_string(i);
  const std::string data = folder_ + "/" + name;
  std::filesystem::create_directories(data);
  const std::string path = folder_ + "/" + name + ".json";
  WriteSettings(path, name, ControlHost(i), data, first_start);
  controls_[i] = Start({GBRNODE_PATH, "control", "--settings", path},
                       folder_ + "/" + name + ".log");
}

void TierCluster::StartEntry(size_t i) {
  const std::string name = "entry-" + std::to_string(i);
  const std::string path = folder_ + "/" + name + ".json";
  WriteSettings(path, name, EntryHost(i), "", false);
  entries_[i] = Start({GBRNODE_PATH, "entry", "--settings", path},
                      folder_ + "/" + name + ".log");
}

void TierCluster::DeleteControlData(size_t i) {
  std::filesystem::remove_all(folder_ + "/control-" + std::to_string(i));
}

bool TierCluster::RecoverControl(size_t i) {
  const std::string name = folder_ + "/control-" + std::to_string(i);
  Process command(
      {GBRNODE_PATH, "recover", "--settings", name + ".json", "--sole-voter"},
      name + "-recover.log");
  return command.WaitForExit(std::chrono::seconds(5)) == 0;
}

void TierCluster::HandleServerRequest(
    size_t server,
    const std::shared_ptr<transport::Exchange>& exchange) {
  const std::string id = exchange->request()["X-Request-Id"].to_string();
  std::optional<ReplyField> field;
  {
    std::lock_guard lock(mutex_);
    std::string fields;
    for (const auto& it : exchange->request()) {
      fields +=
          it.name_string().to_string() + ": " + it.value().to_string() + "\n";
    }
    server_requests_.push_back(std::move(fields));
    if (!crash_target_.empty() &&
        exchange->request().target() == crash_target_) {
      CrashServer(server, exchange);
      return;
    }
    if (exchange->request().method() == http::verb::post) {
      ++executions_[id];
    }
    const size_t service = server / kServersPerService;
    if (reply_fields_.contains(server)) {
      arrivals_[server].push_back(std::chrono::steady_clock::now());
      field = reply_fields_.at(server);
    }
    const ServerFault fault = faults_[service];
    if (fault == ServerFault::kNoResponse) {
      unanswered_.push_back(exchange);
    }
    if (fault != ServerFault::kNone) {
      // Destroying an exchange without a response closes its connection.
      return;
    }
  }
  transport::Response response(http::status::ok, 11);
  response.set("X-Request-Id", id);
  response.set("X-Server-Stamp", "stamp-" + std::to_string(server));
  if (field) {
    response.set(field->name, field->value);
    response.result(field->status);
    if (field->status != http::status::ok) {
      response.set("X-Not-Executed", "1");
    }
  }
  response.body() = std::string(16, static_cast<char>('a' + server));
  exchange->Respond(std::move(response));
}

void TierCluster::SetFault(size_t service, ServerFault fault) {
  std::lock_guard lock(mutex_);
  faults_[service] = fault;
}

void TierCluster::SetReplyField(size_t service,
                                size_t i,
                                const std::string& name,
                                const std::string& value,
                                http::status status) {
  std::lock_guard lock(mutex_);
  reply_fields_[service * kServersPerService + i] = {name, value, status};
}

void TierCluster::SetCold(size_t service, size_t i, bool cold) {
  std::lock_guard lock(mutex_);
  const size_t server = service * kServersPerService + i;
  if (cold) {
    cold_servers_.insert(server);
  } else {
    cold_servers_.erase(server);
  }
}

std::vector<SteadyTime> TierCluster::ArrivalsAt(size_t service, size_t i) {
  std::lock_guard lock(mutex_);
  return arrivals_[service * kServersPerService + i];
}

std::string TierCluster::ExplainLastRequest() {
  const std::string output = folder_ + "/explain.txt";
  Process explain(
      {GBRCTL_PATH, "explain", "r" + std::to_string(next_request_ - 1),
       folder_ + "/entry-0.log", folder_ + "/entry-1.log",
       folder_ + "/control-0.log"},
      output);
  explain.WaitForExit(std::chrono::seconds(5));
  std::ifstream in(output);
  return {std::istreambuf_iterator<char>(in), {}};
}

void TierCluster::RunAnnouncer() {
  for (uint64_t sequence = 1; !stopping_; ++sequence) {
    RestartCrashedServers();
    for (size_t i = 0; i < kServers && !stopping_ && !announcements_paused_;
         ++i) {
      uint64_t restarts = 0;
      bool cold = false;
      uint16_t port = servers_[i]->port();
      {
        std::lock_guard lock(mutex_);
        if (restart_at_.contains(i)) {
          continue;
        }
        restarts = restarts_[i];
        cold = cold_servers_.contains(i);
        if (announced_ports_.contains(i)) {
          port = announced_ports_.at(i);
        }
      }
      const json body = {
          {"service", ServiceName(i)},
          {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", FailureDomainName(options_.servers_in_first_domain ? 0 : i)},
          {"concurrency_limit", 4},
          {"state", "ready"},
          {"sequence", sequence},
          {"warmup_left_ms", cold ? 1'000'000 - sequence : 0},
          {"born", 1000 + restarts}};
      const std::string path =
          "/v1/instances/server-" + std::to_string(i) + "/heartbeat";
      for (size_t n = 0; n < kControlVms; ++n) {
        const auto reply =
            CallControl((i + n) % kControlVms, "POST", path, body.dump());
        if (reply && reply->result() == http::status::ok) {
          break;
        }
      }
    }
    std::this_thread::sleep_for(milliseconds(300));
  }
}

std::optional<transport::Response> TierCluster::Call(const std::string& host,
                                                     uint16_t port,
                                                     transport::Request request,
                                                     Duration timeout) {
  auto promise =
      std::make_shared<std::promise<std::optional<transport::Response>>>();
  auto future = promise->get_future();
  auto connection =
      std::make_shared<transport::ServerConnection>(io_.context());
  request.set("Connection", "close");
  request.prepare_payload();
  io_.Post([=, request = std::move(request)] {
    connection->Connect({host, port}, milliseconds(500), [=](bool connected) {
      if (!connected) {
        promise->set_value(std::nullopt);
        return;
      }
      connection->Send(request, kMaxBodyBytes, [=](transport::Reply reply) {
        promise->set_value(reply.status == transport::ReplyStatus::kComplete
                               ? std::optional(std::move(reply.response))
                               : std::nullopt);
      });
    });
  });
  std::optional<transport::Response> response;
  if (future.wait_for(timeout) == std::future_status::ready) {
    response = future.get();
  }
  io_.Post([connection] { connection->Close(); });
  return response;
}

std::optional<transport::Response> TierCluster::CallControl(
    size_t i,
    const std::string& method,
    const std::string& path,
    const std::string& body) {
  transport::Request request(http::string_to_verb(method), path, 11);
  request.body() = body;
  return Call(ControlHost(i), kControlPort, std::move(request));
}

std::optional<transport::Response> TierCluster::SendRequest(
    size_t entry,
    const std::string& method,
    const std::string& path,
    Duration timeout) {
  transport::Request request(http::string_to_verb(method), path, 11);
  request.set("Host", "h");
  request.set("X-Request-Id", "r" + std::to_string(next_request_++));
  {
    std::lock_guard lock(mutex_);
    if (!caller_key_.empty()) {
      request.set("X-Key", caller_key_);
    }
  }
  const auto patience =
      std::chrono::duration_cast<milliseconds>(timeout) - milliseconds(500);
  request.set("X-Deadline-Ms", std::to_string(patience.count()));
  return Call(EntryHost(entry), kCallerPort, std::move(request), timeout);
}

std::string TierCluster::EntryMetrics(size_t i) {
  return FetchMetrics(EntryHost(i));
}

std::string TierCluster::ControlMetrics(size_t i) {
  return FetchMetrics(ControlHost(i));
}

std::string TierCluster::FetchMetrics(const std::string& host) {
  const auto page = Call(host, kMetricsPort,
                         transport::Request(http::verb::get, "/metrics", 11));
  return page && page->result() == http::status::ok ? page->body() : "";
}

bool TierCluster::PutRoutes(uint64_t version) {
  json document = MakeRoutesDocument(version, options_);
  {
    std::lock_guard lock(mutex_);
    if (!organisations_.empty()) {
      document["tenants"] = json::parse(organisations_);
    }
  }
  const std::string body = document.dump();
  for (int i = 0; i < 40; ++i) {
    const auto reply = CallControl(static_cast<size_t>(i) % kControlVms, "POST",
                                   "/v1/config/replace", body);
    if (reply && reply->result() == http::status::ok) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

uint64_t TierCluster::ReadRoutesVersion(size_t control) {
  const auto reply = CallControl(control, "GET", "/v1/config/read");
  if (!reply || reply->result() != http::status::ok) {
    return 0;
  }
  return json::parse(reply->body()).at("version").get<uint64_t>();
}

bool TierCluster::WaitForCompleteAnswer(size_t entry, Duration timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    const auto reply = SendRequest(entry, "GET", "/all/x");
    if (reply && reply->result() == http::status::ok &&
        (*reply)["X-Missing-Parts"] == "0") {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

void TierCluster::SetOrganisations(const std::string& organisations) {
  std::lock_guard lock(mutex_);
  organisations_ = organisations;
}

void TierCluster::SetCallerKey(const std::string& key) {
  std::lock_guard lock(mutex_);
  caller_key_ = key;
}

std::string TierCluster::Logs() const {
  std::string logs;
  for (const auto& it : std::filesystem::directory_iterator(folder_)) {
    if (it.path().extension() == ".log") {
      std::ifstream in(it.path());
      logs.append(std::istreambuf_iterator<char>(in), {});
    }
  }
  return logs;
}

std::vector<std::string> TierCluster::ServerRequests() {
  std::lock_guard lock(mutex_);
  return server_requests_;
}

std::map<std::string, int> TierCluster::Executions() {
  std::lock_guard lock(mutex_);
  return executions_;
}

std::optional<double> MetricValue(const std::string& page,
                                  const std::string& name) {
  const size_t at = page.find("\n" + name + " ");
  return at == std::string::npos
             ? std::nullopt
             : std::optional(std::stod(page.substr(at + name.size() + 2)));
}

}  // namespace gooseberryrock::process_test
