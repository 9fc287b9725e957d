// A small deployment on loopback addresses.

#include "tier.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <set>
#include <sstream>
#include <utility>

namespace gooseberryrock::review {

namespace {

using std::chrono::milliseconds;

// heartbeat_ms of the small deployments.
constexpr milliseconds kHeartbeat{1200};
// A confirmation counts if it arrives within a second.
constexpr milliseconds kControlTimeout{1000};
constexpr milliseconds kPoll{20};

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Hex(uint64_t number) {
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number));
  return text;
}

std::string Text(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

Record::Record(const std::string& path) : file_(path) {}

void Record::Write(const std::string& event, const std::string& details) {
  const int64_t now = Now();
  std::lock_guard lock(mutex_);
  file_ << now << " " << event << " " << details << std::endl;
}

int64_t Record::Now() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start_)
      .count();
}

Node::Node(std::string program, std::string role, std::string settings)
    : program_(std::move(program)),
      role_(std::move(role)),
      settings_(std::move(settings)) {}

Node::~Node() {
  Kill();
}

void Node::Start() {
  Kill();
  status_.reset();
  const std::string log = settings_ + ".log";
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  execl(program_.c_str(), program_.c_str(), role_.c_str(), "--settings",
        settings_.c_str(), nullptr);
  _exit(127);
}

void Node::Signal(int number) {
  if (pid_ > 0 && !Ended()) {
    kill(pid_, number);
  }
}

void Node::Kill() {
  if (pid_ > 0 && !Ended()) {
    kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    status_ = status;
  }
}

std::optional<int> Node::Ended() {
  int status = 0;
  if (!status_ && pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    status_ = status;
  }
  return status_;
}

Backend::Backend(const BackendOptions& options,
                 std::string id,
                 std::vector<Address> controls,
                 Record& record,
                 Work work)
    : options_(options),
      id_(std::move(id)),
      controls_(std::move(controls)),
      record_(record),
      work_(std::move(work)),
      born_(UnixMilliseconds()),
      server_("127.78.0.1", [this](const Request& it) { return Handle(it); }) {
  announcer_ = std::thread([this] { Announce(); });
}

Backend::~Backend() {
  stopping_ = true;
  announcer_.join();
}

std::optional<Response> Backend::Handle(const Request& request) {
  const auto field = [&](const char* name) {
    const auto it = request.fields.find(name);
    return it == request.fields.end() ? std::string() : it->second;
  };
  const std::string details = "request=" + field("x-request-id") +
                              " server=" + id_ + " " + request.method + " " +
                              request.target;
  Response response;
  response.fields["x-request-id"] = field("x-request-id");
  if (field("x-target-instance") != id_) {
    record_.Write("misdirected", details);
    response.status = 421;
    response.fields["x-not-executed"] = "1";
    return response;
  }
  record_.Write("run", details);
  ++running_;
  const auto result = work_(request);
  --running_;
  if (!result) {
    return std::nullopt;
  }
  response = *result;
  response.fields["x-request-id"] = field("x-request-id");
  response.fields.emplace("x-server-stamp", Digest(id_, request));
  response.fields["x-server-load"] =
      std::to_string(running_) + ",0," + std::to_string(options_.slots);
  record_.Write("replied",
                details + " status=" + std::to_string(response.status));
  return response;
}

void Backend::Announce() {
  size_t next = 0;
  while (!stopping_) {
    if (down_) {
      if (record_.Now() >= down_until_) {
        born_ = UnixMilliseconds();
        sequence_ = 0;
        server_.Resume();
        down_ = false;
        record_.Write("server_started", "server=" + id_);
      }
    }
    if (!down_) {
      for (size_t i = 0; i < controls_.size() && !stopping_; ++i) {
        if (Beat(controls_[next % controls_.size()])) {
          break;
        }
        ++next;
      }
    }
    const auto until = Clock::now() + kHeartbeat;
    while (!stopping_ && Clock::now() < until &&
           !(down_ && record_.Now() >= down_until_)) {
      std::this_thread::sleep_for(kPoll);
    }
  }
}

bool Backend::Beat(const Address& control) {
  Request request;
  request.method = "POST";
  request.target = "/v1/instances/" + id_ + "/heartbeat";
  request.fields = {{"host", control.host},
                    {"content-type", "application/json"}};
  request.body = R"({"service":")" + options_.service + R"(","address":")" +
                 Text(server_.address()) + R"(","zone":")" + options_.zone +
                 R"(","version":"v1","concurrency_limit":)" +
                 std::to_string(options_.slots) +
                 R"(,"state":"ready","warmup_left_ms":0,"sequence":)" +
                 std::to_string(++sequence_) + R"(,"born":)" +
                 std::to_string(born_) + "}";
  Connection connection(control);
  const auto response = connection.Call(request, kControlTimeout);
  return response && response->status == 200;
}

void Backend::CrashFor(milliseconds down) {
  record_.Write("server_crashed", "server=" + id_);
  down_until_ = record_.Now() + down.count();
  down_ = true;
  server_.Crash();
}

Tier::Tier(const TierOptions& options, Record& record)
    : options_(options), record_(record) {
  std::set<std::string> hosts;
  const auto add = [&](size_t n, int net, std::vector<std::string>& out) {
    for (size_t i = 0; i < n; ++i) {
      out.push_back("127.77." + std::to_string(net) + "." +
                    std::to_string(i + 1));
      hosts.insert(out.back());
    }
  };
  add(options_.control_zones.size(), 1, control_hosts_);
  add(options_.entry_zones.size(), 2, entry_hosts_);
  std::set<uint16_t> ports;
  const auto next_port = [&] {
    uint16_t port = 0;
    do {
      port = FreePort(hosts);
    } while (!ports.insert(port).second);
    return port;
  };
  peer_port_ = next_port();
  gather_port_ = next_port();
  control_port_ = next_port();
  caller_port_ = next_port();
  ready_port_ = next_port();
  for (size_t i = 0; i < control_hosts_.size(); ++i) {
    controls_.push_back(
        std::make_unique<Node>(options_.program, "control",
                               SettingsPath("control-" + std::to_string(i))));
  }
  for (size_t i = 0; i < entry_hosts_.size(); ++i) {
    entries_.push_back(std::make_unique<Node>(
        options_.program, "entry", SettingsPath("entry-" + std::to_string(i))));
  }
}

std::string Tier::SettingsPath(const std::string& name) const {
  return options_.folder + "/" + name + ".json";
}

void Tier::WriteSettings(const std::string& name,
                         const std::string& host,
                         const std::string& zone,
                         bool first_start) const {
  std::string controls;
  for (const std::string& it : control_hosts_) {
    controls += (controls.empty() ? "\"" : ",\"") + it + ":" +
                std::to_string(control_port_) + "\"";
  }
  const std::string data = options_.folder + "/" + name + ".data";
  std::filesystem::create_directories(data);
  const auto address = [&](uint16_t port) {
    return "\"" + host + ":" + std::to_string(port) + "\"";
  };
  // The values of the small deployments.
  std::ofstream(SettingsPath(name))
      << R"({"cluster":"tier",)"
      << R"("cluster_key":"the-platform-network-is-the-boundary",)"
      << R"("name":")" << name << R"(","address":")" << host
      << R"(","failure_domain":")" << zone << R"(","peer_port":)" << peer_port_
      << R"(,"gather_port":)" << gather_port_ << R"(,"control_vms":[)"
      << controls << R"(],"first_start":)" << (first_start ? "true" : "false")
      << R"(,"data_folder":")" << data << R"(","caller_address":)"
      << address(caller_port_) << R"(,"ready_address":)" << address(ready_port_)
      << R"(,"control_address":)" << address(control_port_)
      << R"(,"cores":1,"tolerated_losses":1,"replacement_time_s":4,)"
      << R"("contact_time_ms":4000,"route_change_time_ms":3000,)"
      << R"("server_drain_time_ms":3000,"extra_attempts":52,)"
      << R"("extra_attempt_window_s":10,"extra_attempt_share":0.2,)"
      << R"("stop_time_s":6})";
}

Address Tier::EntryAddress(size_t i) const {
  return {entry_hosts_[i], caller_port_};
}

Address Tier::ControlAddress(size_t i) const {
  return {control_hosts_[i], control_port_};
}

std::vector<Address> Tier::ControlAddresses() const {
  std::vector<Address> addresses;
  for (size_t i = 0; i < control_hosts_.size(); ++i) {
    addresses.push_back(ControlAddress(i));
  }
  return addresses;
}

std::string Tier::ControlLog(size_t i) const {
  std::ifstream file(SettingsPath("control-" + std::to_string(i)) + ".log");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void Tier::Start() {
  for (size_t i = 0; i < controls_.size(); ++i) {
    WriteSettings("control-" + std::to_string(i), control_hosts_[i],
                  options_.control_zones[i], /*first_start=*/true);
    controls_[i]->Start();
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    WriteSettings("entry-" + std::to_string(i), entry_hosts_[i],
                  options_.entry_zones[i], /*first_start=*/true);
    entries_[i]->Start();
  }
}

void Tier::RestartControl(size_t i) {
  WriteSettings("control-" + std::to_string(i), control_hosts_[i],
                options_.control_zones[i], /*first_start=*/false);
  controls_[i]->Start();
  record_.Write("started", "control-" + std::to_string(i));
}

void Tier::RestartEntry(size_t i) {
  WriteSettings("entry-" + std::to_string(i), entry_hosts_[i],
                options_.entry_zones[i], /*first_start=*/false);
  entries_[i]->Start();
  record_.Write("started", "entry-" + std::to_string(i));
}

bool Tier::PutConfig(const std::string& config) {
  constexpr int kAttempts = 100;
  constexpr milliseconds kPause{100};
  for (int i = 0; i < kAttempts; ++i) {
    const Address control =
        ControlAddress(static_cast<size_t>(i) % control_hosts_.size());
    Request request;
    request.method = "POST";
    request.target = "/v1/config/replace";
    request.fields = {{"host", control.host},
                      {"content-type", "application/json"}};
    request.body = config;
    Connection connection(control);
    const auto response = connection.Call(request, kControlTimeout);
    if (response) {
      record_.Write("config", "status=" + std::to_string(response->status));
      if (response->status == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

bool Tier::WaitUntilReady(std::chrono::seconds timeout) {
  const auto until = Clock::now() + timeout;
  for (const std::string& host : entry_hosts_) {
    while (true) {
      Request request;
      request.target = "/v1/readiness";
      request.fields = {{"host", host}};
      Connection connection({host, ready_port_});
      const auto response = connection.Call(request, kControlTimeout);
      if (response && response->status == 200) {
        break;
      }
      if (Clock::now() >= until) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  return true;
}

std::string NewRequestId() {
  static std::atomic<uint64_t> next = std::random_device{}();
  return Hex((++next * 0x9e3779b97f4a7c15U) ^ 0x5bd1e995U);
}

std::string Digest(const std::string& server, const Request& request) {
  const auto id = request.fields.find("x-request-id");
  const size_t hash = std::hash<std::string>{}(
      server + (id == request.fields.end() ? "" : id->second));
  return Hex(hash).substr(0, 4) + ".07.5a2.600.0." + Hex(hash).substr(8);
}

std::string Environment(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

}  // namespace gooseberryrock::review
