// A small deployment of the project's programs on loopback addresses.

#include "tier.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <thread>

namespace gooseberryrock::review {

namespace {

using std::chrono::milliseconds;

const char* const kZones[] = {"zone-a", "zone-b", "zone-c"};

// The settings name at most three control VMs.
constexpr size_t kSeeds = 3;

const char* const kSmallBounds =
    R"("tolerated_losses": 1, "replacement_time_s": 4,
  "contact_time_ms": 4000, "route_change_time_ms": 3000,
  "server_drain_time_ms": 3000, "extra_attempts": 52,
  "extra_attempt_window_s": 10, "extra_attempt_share": 0.2, "stop_time_s": 6)";

const char* const kGrownBounds =
    R"("tolerated_losses": 2, "replacement_time_s": 6,
  "contact_time_ms": 5000, "route_change_time_ms": 4000,
  "server_drain_time_ms": 4000, "extra_attempts": 214,
  "extra_attempt_window_s": 10, "extra_attempt_share": 0.2, "stop_time_s": 6)";

bool IsFree(const Endpoint& at) {
  const int fd = Listen(at);
  if (fd < 0) {
    return false;
  }
  close(fd);
  return true;
}

std::string MakeSettings(const Tier& tier, const Node& node, bool first_start) {
  std::string seeds;
  for (size_t i = 0; i < std::min(kSeeds, tier.controls.size()); ++i) {
    seeds += seeds.empty() ? "" : ", ";
    seeds +=
        "\"" + FormatEndpoint(ControlAddress(tier, tier.controls[i])) + "\"";
  }
  std::string text = "{\n  \"cluster\": \"tier\",\n  \"cluster_key\": ";
  text += "\"the-platform-network-is-the-boundary\",\n  \"name\": \"";
  text += node.name + "\", \"address\": \"" + node.host;
  text += "\", \"failure_domain\": \"" + node.zone + "\",\n  \"peer_port\": ";
  text += std::to_string(tier.peer_port) + ", \"gather_port\": ";
  text += std::to_string(tier.peer_port + 1) + ",\n  \"control_vms\": [";
  text += seeds + "], \"first_start\": ";
  text += first_start ? "true" : "false";
  text += ",\n  \"metrics_address\": \"" + node.host + ":9464\"";
  if (node.role == "control") {
    text += ", \"data_folder\": \"" + node.folder + "\", \"control_address\": ";
    text += "\"" + FormatEndpoint(ControlAddress(tier, node)) + "\"";
  } else {
    text += ", \"data_folder\": \"\", \"caller_address\": \"";
    text += FormatEndpoint(CallerAddress(tier, node));
    text += "\", \"ready_address\": \"" + node.host + ":";
    text += std::to_string(tier.ready_port) + "\"";
  }
  text += ",\n  \"cores\": 1, \"memory_mb\": 260, ";
  text += tier.tolerated_losses == 1 ? kSmallBounds : kGrownBounds;
  return text + "\n}\n";
}

Node MakeNode(const Tier& tier,
              const std::string& role,
              size_t index,
              size_t number) {
  Node node;
  node.role = role;
  node.name = role + "-" + std::to_string(index + 1);
  node.zone = kZones[index % std::size(kZones)];
  node.host = tier.prefix + "." + std::to_string(number);
  node.folder = tier.folder + "/" + node.name;
  return node;
}

}  // namespace

bool PlanTier(Tier& tier,
              const std::string& program,
              const std::string& folder,
              size_t controls,
              size_t entries) {
  tier.program = program;
  tier.folder = folder;
  const int seed = static_cast<int>(getpid());
  for (int i = 0; i < 50; ++i) {
    const int number = seed + i * 613;
    tier.prefix = "127." + std::to_string(1 + number % 200) + "." +
                  std::to_string(1 + number / 200 % 200);
    tier.control_port = 21000 + number % 97 * 10;
    tier.caller_port = tier.control_port + 1;
    tier.ready_port = tier.control_port + 2;
    tier.peer_port = tier.control_port + 3;
    tier.controls.clear();
    tier.entries.clear();
    bool is_free = true;
    for (size_t n = 0; n < controls + entries; ++n) {
      const bool is_control = n < controls;
      auto& nodes = is_control ? tier.controls : tier.entries;
      nodes.push_back(MakeNode(tier, is_control ? "control" : "entry",
                               is_control ? n : n - controls, n + 1));
      const std::string& host = nodes.back().host;
      for (int port = tier.control_port; port < tier.control_port + 6; ++port) {
        is_free = is_free && IsFree({host, port});
      }
      is_free = is_free && IsFree({host, 9464});
    }
    if (is_free) {
      return true;
    }
  }
  return false;
}

bool StartNode(const Tier& tier, Node& node, bool first_start, Record& record) {
  mkdir(node.folder.c_str(), 0755);
  const std::string settings = tier.folder + "/" + node.name + ".json";
  std::ofstream(settings) << MakeSettings(tier, node, first_start);
  const std::string log = tier.folder + "/" + node.name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    const int fd =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl(tier.program.c_str(), tier.program.c_str(), node.role.c_str(),
          "--settings", settings.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  node.pid = pid;
  Write(record, "platform: starts " + node.name + " (" + node.host +
                    "), first_start " + (first_start ? "true" : "false"));
  return pid > 0;
}

void KillNode(Node& node, Record& record) {
  if (node.pid <= 0) {
    return;
  }
  kill(node.pid, SIGKILL);
  waitpid(node.pid, nullptr, 0);
  node.pid = 0;
  Write(record, "platform: killed " + node.name);
}

bool IsRunning(Node& node) {
  if (node.pid <= 0) {
    return false;
  }
  if (waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
    node.pid = 0;
    return false;
  }
  return true;
}

void StopTier(Tier& tier, Record& record) {
  for (auto* nodes : {&tier.entries, &tier.controls}) {
    for (Node& it : *nodes) {
      KillNode(it, record);
    }
  }
}

Endpoint ControlAddress(const Tier& tier, const Node& node) {
  return {node.host, tier.control_port};
}

Endpoint CallerAddress(const Tier& tier, const Node& node) {
  return {node.host, tier.caller_port};
}

int SendOrder(const Tier& tier,
              const std::string& path,
              const std::string& body,
              std::chrono::milliseconds timeout,
              Record& record) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  milliseconds pause(100);
  std::string last;
  for (size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
    const Node& node = tier.controls[i % tier.controls.size()];
    Endpoint to = ControlAddress(tier, node);
    HttpMessage answer;
    // Follows a redirection twice.
    for (int hop = 0; hop < 3; ++hop) {
      answer = Call(
          to, "POST", path,
          {{"Host", FormatEndpoint(to)}, {"Content-Type", "application/json"}},
          body, milliseconds(1000));
      const std::string location = FindHeader(answer, "Location");
      if (StatusOf(answer) != 307 || location.compare(0, 7, "http://") != 0) {
        break;
      }
      to = ParseEndpoint(location.substr(7, location.find('/', 7) - 7));
    }
    const std::string line = "sends " + path + " to " + node.name +
                             ": status " + std::to_string(StatusOf(answer)) +
                             " " + answer.body.substr(0, 100);
    if (line != last) {
      Write(record, line);
    }
    last = line;
    if (StatusOf(answer) == 200) {
      return static_cast<int>(i % tier.controls.size());
    }
    std::this_thread::sleep_for(pause);
    pause = std::min(pause * 3 / 2, milliseconds(1000));
  }
  return -1;
}

}  // namespace gooseberryrock::review
