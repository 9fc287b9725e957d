// Case: a deployment that tolerates the loss of two machines with a disk loses
// two right after it has confirmed its first config. The config must stay
// readable.
//
// Usage: early_loss PROGRAM FOLDER RECORD. TROUBLE=0 leaves the loss out,
// LOSE_AFTER_MS sets the time between the confirmation and the loss.
// Exit code: 1 if the config was lost, 0 if it was kept, 2 if the case cannot
// run.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "config.h"
#include "http.h"
#include "record.h"
#include "tier.h"

namespace gooseberryrock::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kControls = 6;
constexpr size_t kEntries = 3;
constexpr int kTolerated = 2;
constexpr int kVersion = 7;

// Time after which the machines that lost their disks are back.
constexpr milliseconds kDownTime(1000);

// contact_ms, catch_up_s and recovery_s of the grown sites together, and half a
// minute more, so that a slow machine is not taken for a fault.
constexpr seconds kReadTime(5 + 6 + 15 + 30);

long ReadNumber(const char* name, long otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtol(text, nullptr, 10);
}

void LoseDisk(Node& node, Record& record) {
  KillNode(node, record);
  std::error_code ec;
  std::filesystem::remove_all(node.folder, ec);
  Write(record, "platform: emptied the disk of " + node.name);
}

// The machine that confirmed the config and the first other one that the
// settings name; or the first two of these if it is none of them.
std::vector<size_t> ChooseLost(size_t confirmed_by) {
  if (confirmed_by == 1 || confirmed_by == 2) {
    return {confirmed_by, 0};
  }
  return {0, 1};
}

// Asks all control VMs for the config until one returns it.
bool ReadBack(const Tier& tier, Record& record) {
  std::string last;
  const auto until = std::chrono::steady_clock::now() + kReadTime;
  const std::string wanted = "\"version\":" + std::to_string(kVersion);
  while (std::chrono::steady_clock::now() < until) {
    std::string line = "operator: reads the config:";
    bool is_found = false;
    for (const Node& it : tier.controls) {
      const Endpoint to = ControlAddress(tier, it);
      HttpMessage answer =
          Call(to, "GET", "/v1/config/read", {{"Host", FormatEndpoint(to)}}, "",
               milliseconds(1000));
      std::erase(answer.body, ' ');
      is_found = is_found || (StatusOf(answer) == 200 &&
                              answer.body.find(wanted) != std::string::npos);
      line += " " + std::to_string(StatusOf(answer));
    }
    if (line != last) {
      Write(record, line);
    }
    last = line;
    if (is_found) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  return false;
}

int RunPlannedCase(Tier& tier, Record& record) {
  const bool with_trouble = ReadNumber("TROUBLE", 1) != 0;
  const milliseconds lose_after(ReadNumber("LOSE_AFTER_MS", 0));
  for (auto* nodes : {&tier.controls, &tier.entries}) {
    for (Node& it : *nodes) {
      if (!StartNode(tier, it, /*first_start=*/true, record)) {
        return 2;
      }
    }
  }
  const int confirmed_by = SendOrder(tier, "/v1/config/replace",
                                     MakeConfig(kVersion), seconds(20), record);
  if (confirmed_by < 0) {
    return 2;
  }
  std::this_thread::sleep_for(lose_after);
  if (with_trouble) {
    const std::vector<size_t> lost =
        ChooseLost(static_cast<size_t>(confirmed_by));
    for (size_t i : lost) {
      LoseDisk(tier.controls[i], record);
    }
    std::this_thread::sleep_for(kDownTime);
    for (size_t i : lost) {
      StartNode(tier, tier.controls[i], /*first_start=*/false, record);
    }
  }
  const bool is_kept = ReadBack(tier, record);
  Write(record, is_kept ? "operator: read the confirmed config"
                        : "operator: the confirmed config was never readable");
  if (!is_kept) {
    const int next = SendOrder(tier, "/v1/config/replace",
                               MakeConfig(kVersion + 1), seconds(15), record);
    Write(record, next >= 0 ? "operator: the next config was confirmed"
                            : "operator: the next config was not confirmed");
  }
  for (auto* nodes : {&tier.controls, &tier.entries}) {
    for (Node& it : *nodes) {
      Write(record, it.name + (IsRunning(it) ? " is running" : " has ended"));
    }
  }
  return is_kept ? 0 : 1;
}

int RunCase(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: early_loss PROGRAM FOLDER RECORD\n");
    return 2;
  }
  Record record;
  OpenRecord(record, argv[3]);
  Tier tier;
  tier.tolerated_losses = kTolerated;
  if (!PlanTier(tier, argv[1], argv[2], kControls, kEntries)) {
    Write(record, "no free ports");
    return 2;
  }
  const int code = RunPlannedCase(tier, record);
  StopTier(tier, record);
  Write(record, "exit code " + std::to_string(code));
  CloseRecord(record);
  return code;
}

}  // namespace

}  // namespace gooseberryrock::review

int main(int argc, char** argv) {
  return gooseberryrock::review::RunCase(argc, argv);
}
