// A control VM that was killed and started again answers a read of the config
// with a reply that was meant for its earlier process.

#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

#include "../standin/http.h"
#include "../standin/tier.h"

namespace gooseberryrock::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kControls = 3;
// config_apply_ms.
constexpr milliseconds kApplyTime{3000};
// The callers of control VMs move on after a second without a response.
constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kFirstReadTimeout{400};
constexpr milliseconds kFirstFreeze{60};
constexpr milliseconds kRestDown{2200};
constexpr seconds kMaxElection{4};
constexpr seconds kSettle{4};
constexpr seconds kLength{95};
constexpr int kQuietRounds = 3;

std::string MakeConfig(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"book","hostname":"salon.example",)"
         R"("path_prefix":"/book/","route_type":"idempotent",)"
         R"("timeout_ms":2000,"target_latency_ms":200,"priority":1,)"
         R"("service":"book","attempts":2}],"services":[{"name":"book",)"
         R"("max_connections":96,"health_check_path":"/health",)"
         R"("protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000}})";
}

std::optional<Response> CallControl(const Address& control,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& body,
                                    milliseconds timeout) {
  Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.fields = {{"host", control.host},
                    {"content-type", "application/json"}};
  Connection connection(control);
  return connection.Call(request, timeout);
}

// Returns the version that a read reports; nullopt without a 200.
std::optional<int> ReadVersion(const Address& control, milliseconds timeout) {
  const auto response =
      CallControl(control, "GET", "/v1/config/read", "", timeout);
  if (!response || response->status != 200) {
    return std::nullopt;
  }
  constexpr char kField[] = "\"version\":";
  const size_t at = response->body.find(kField);
  return static_cast<int>(std::strtol(
      response->body.c_str() + at + sizeof(kField) - 1, nullptr, 10));
}

class Rounds {
 public:
  Rounds(Tier& tier, Record& record, bool trouble)
      : tier_(tier), record_(record), trouble_(trouble) {}

  // Runs one round. Returns whether a read was stale.
  bool Run();
  size_t reads() const { return reads_; }
  size_t stale() const { return stale_; }

 private:
  // The control VM that `i` names as leader after `from` bytes of its log.
  std::optional<size_t> LeaderOf(size_t i, size_t from = 0) const;
  // The leader that all name.
  std::optional<size_t> AgreedLeader() const;
  bool Put(size_t control);
  void Signal(size_t control, int number);
  void Read(size_t control);
  // While the leader `frozen` stands still, starts `restarted` again and waits
  // until it knows a leader.
  std::optional<size_t> RestartBeside(size_t frozen, size_t restarted);

  Tier& tier_;
  Record& record_;
  const bool trouble_;
  int version_ = 0;
  Clock::time_point confirmed_at_;
  bool first_ = true;
  size_t reads_ = 0;
  size_t stale_ = 0;
};

std::optional<size_t> Rounds::LeaderOf(size_t i, size_t from) const {
  const std::string log = tier_.ControlLog(i).substr(from);
  const size_t line = log.rfind("event=leadership_changed");
  constexpr char kField[] = " leader=";
  const size_t at = line == std::string::npos ? line : log.find(kField, line);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const size_t start = at + sizeof(kField) - 1;
  const std::string leader =
      log.substr(start, log.find_first_of(" \n", start) - start);
  for (size_t n = 0; n < kControls; ++n) {
    if (tier_.ControlAddress(n).host == leader) {
      return n;
    }
  }
  return std::nullopt;
}

std::optional<size_t> Rounds::AgreedLeader() const {
  const auto leader = LeaderOf(0);
  for (size_t i = 1; i < kControls; ++i) {
    if (LeaderOf(i) != leader) {
      return std::nullopt;
    }
  }
  return leader;
}

bool Rounds::Put(size_t control) {
  constexpr int kAttempts = 50;
  ++version_;
  for (int i = 0; i < kAttempts; ++i) {
    const auto response =
        CallControl(tier_.ControlAddress(control), "POST", "/v1/config/replace",
                    MakeConfig(version_), kCallTimeout);
    if (response && response->status == 200) {
      confirmed_at_ = Clock::now();
      record_.Write("confirmed", "version=" + std::to_string(version_) +
                                     " control-" + std::to_string(control));
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

void Rounds::Signal(size_t control, int number) {
  if (trouble_) {
    record_.Write(number == SIGSTOP ? "freeze" : "wake",
                  "control-" + std::to_string(control));
    tier_.Control(control).Signal(number);
  }
}

void Rounds::Read(size_t control) {
  const auto sent = Clock::now();
  record_.Write("read_sent", "control-" + std::to_string(control));
  const auto version = ReadVersion(tier_.ControlAddress(control), kCallTimeout);
  const bool is_late = sent > confirmed_at_ + kApplyTime;
  const bool is_stale = version && is_late && *version < version_;
  reads_ += version && is_late ? 1 : 0;
  stale_ += is_stale ? 1 : 0;
  record_.Write("read_answered",
                "version=" + (version ? std::to_string(*version) : "none") +
                    " confirmed=" + std::to_string(version_) +
                    (is_stale ? " stale" : ""));
}

std::optional<size_t> Rounds::RestartBeside(size_t frozen, size_t restarted) {
  const size_t from = tier_.ControlLog(restarted).size();
  Signal(frozen, SIGSTOP);
  tier_.RestartControl(restarted);
  const auto end = Clock::now() + kMaxElection;
  std::optional<size_t> leader;
  while (Clock::now() < end && (!leader || *leader == frozen)) {
    std::this_thread::sleep_for(milliseconds(10));
    leader = LeaderOf(restarted, from);
  }
  return leader;
}

bool Rounds::Run() {
  const auto leader = AgreedLeader();
  if (!leader) {
    std::this_thread::sleep_for(milliseconds(300));
    return false;
  }
  const size_t restarted = (*leader + 1) % kControls;
  const size_t other = (*leader + 2) % kControls;
  if (!first_ && trouble_) {
    // Its calls are numbered from the start of its process.
    tier_.Control(restarted).Kill();
    tier_.RestartControl(restarted);
    std::this_thread::sleep_for(kSettle);
  }
  first_ = false;
  if (!Put(*leader)) {
    return false;
  }
  // The leader answers a read after the process that passed it on was killed.
  Signal(*leader, SIGSTOP);
  auto first_read = std::async(std::launch::async, [&] {
    return ReadVersion(tier_.ControlAddress(restarted), kFirstReadTimeout);
  });
  std::this_thread::sleep_for(kFirstFreeze);
  if (trouble_) {
    record_.Write("kill", "control-" + std::to_string(restarted));
    tier_.Control(restarted).Kill();
  }
  Signal(*leader, SIGCONT);
  first_read.wait();
  std::this_thread::sleep_for(milliseconds(300));
  if (!Put(*leader)) {
    return false;
  }
  std::this_thread::sleep_for(kRestDown);
  const size_t before = stale_;
  if (!trouble_) {
    std::this_thread::sleep_for(kApplyTime);
    Read(restarted);
    return false;
  }
  const auto now_leads = RestartBeside(*leader, restarted);
  if (now_leads == other && Clock::now() > confirmed_at_ + kApplyTime) {
    Signal(other, SIGSTOP);
    auto read = std::async(std::launch::async, [&] { Read(restarted); });
    std::this_thread::sleep_for(milliseconds(20));
    Signal(*leader, SIGCONT);
    read.wait();
    Signal(other, SIGCONT);
  } else {
    Signal(*leader, SIGCONT);
  }
  std::this_thread::sleep_for(kSettle);
  return stale_ > before;
}

int Main(const std::string& program,
         const std::string& folder,
         const std::string& record_path) {
  const bool trouble = Environment("TROUBLE", "1") != "0";
  Record record(record_path);
  Tier tier({program, folder, {"a", "b", "c"}, {}}, record);
  tier.Start();
  std::this_thread::sleep_for(kSettle);
  Rounds rounds(tier, record, trouble);
  const auto end = Clock::now() + kLength;
  int n = 0;
  while (Clock::now() < end && (trouble || n < kQuietRounds)) {
    ++n;
    if (rounds.Run()) {
      break;
    }
  }
  const std::string result = "rounds=" + std::to_string(n) +
                             " reads=" + std::to_string(rounds.reads()) +
                             " stale=" + std::to_string(rounds.stale());
  record.Write("result", result);
  std::cout << result << "\n";
  if (rounds.stale() > 0) {
    return kRuleBroken;
  }
  return rounds.reads() == 0 ? kCouldNotRun : kRuleHeld;
}

}  // namespace
}  // namespace gooseberryrock::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: case PROGRAM FOLDER RECORD\n";
    return gooseberryrock::review::kCouldNotRun;
  }
  return gooseberryrock::review::Main(argv[1], argv[2], argv[3]);
}
