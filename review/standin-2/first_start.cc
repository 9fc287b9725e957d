// Case: all control processes are killed shortly after the first start of the
// system and come back with their disks. The first config must be confirmed.
//
// Usage: first_start PROGRAM FOLDER RECORD. TROUBLE=0 leaves the kill out,
// KILL_AT_MS sets the time of the kill after the start.
// Exit code: 1 if no config was confirmed, 0 if one was, 2 if the case cannot
// run.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "config.h"
#include "http.h"
#include "record.h"
#include "tier.h"

namespace gooseberryrock::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Down time of the processes; the pages allow up to a second.
constexpr milliseconds kDownTime(500);

// The traffic of the small sites starts this long after the machines.
constexpr seconds kTrafficStart(10);

// From the restart until the core counts as stable, and the time for a
// confirmation: contact_ms and ack_ms of the small sites.
constexpr milliseconds kContactTime(4000);
constexpr milliseconds kAckTime(5000);

// Beyond the times above, so that a slow machine is not taken for a fault.
constexpr seconds kAllowance(20);

long ReadNumber(const char* name, long otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtol(text, nullptr, 10);
}

void SleepUntil(const Record& record, milliseconds at) {
  std::this_thread::sleep_until(record.begin + at);
}

int RunPlannedCase(Tier& tier, Record& record) {
  const bool with_trouble = ReadNumber("TROUBLE", 1) != 0;
  const milliseconds kill_at(ReadNumber("KILL_AT_MS", 500));
  record.begin = std::chrono::steady_clock::now();
  for (auto* nodes : {&tier.controls, &tier.entries}) {
    for (Node& it : *nodes) {
      if (!StartNode(tier, it, /*first_start=*/true, record)) {
        return 2;
      }
    }
  }
  SleepUntil(record, kill_at);
  for (Node& it : tier.controls) {
    if (!IsRunning(it)) {
      Write(record, it.name + " has ended by itself");
      return 2;
    }
  }
  if (with_trouble) {
    for (Node& it : tier.controls) {
      KillNode(it, record);
    }
    std::this_thread::sleep_for(kDownTime);
    for (Node& it : tier.controls) {
      StartNode(tier, it, /*first_start=*/false, record);
    }
  }
  // The first config is sent before traffic starts, to a core that has been
  // stable for the contact time.
  std::this_thread::sleep_for(kContactTime);
  const milliseconds sent_at = SinceStart(record);
  const bool is_confirmed =
      SendOrder(tier, "/v1/config/replace", MakeConfig(7),
                kAckTime + kAllowance + kTrafficStart - kContactTime,
                record) >= 0;
  Write(record, is_confirmed
                    ? "operator: the first config was confirmed"
                    : "operator: the first config was never confirmed");
  Write(record, "operator: sent the first config for " +
                    std::to_string((SinceStart(record) - sent_at).count()) +
                    " ms, ack_ms is " + std::to_string(kAckTime.count()));
  for (auto* nodes : {&tier.controls, &tier.entries}) {
    for (Node& it : *nodes) {
      Write(record, it.name + (IsRunning(it) ? " is running" : " has ended"));
    }
  }
  for (const Node& it : tier.entries) {
    const HttpMessage answer =
        Call(CallerAddress(tier, it), "GET", "/chairs/1",
             {{"Host", "search.example"}, {"X-Request-Id", "req-" + it.name}},
             "", milliseconds(2000));
    Write(record, "client: GET /chairs/1 at " + it.name + ": status " +
                      std::to_string(StatusOf(answer)));
  }
  return is_confirmed ? 0 : 1;
}

int RunCase(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: first_start PROGRAM FOLDER RECORD\n");
    return 2;
  }
  Record record;
  OpenRecord(record, argv[3]);
  Tier tier;
  if (!PlanTier(tier, argv[1], argv[2], 3, 3)) {
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
