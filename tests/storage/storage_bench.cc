// Benchmark of the log store and consensus message sizes. Prints one line
// `name value unit bound pass|fail` per metric.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

#include "consensus.pb.h"
#include "gooseberryrock/consensus/consensus.h"
#include "gooseberryrock/proto/convert_consensus.h"
#include "gooseberryrock/storage/log_store.h"

namespace gooseberryrock::storage {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

bool Report(const std::string& name,
            double value,
            const char* unit,
            double bound) {
  const bool pass = value <= bound;
  std::printf("%s %.3f %s %.3f %s\n", name.c_str(), value, unit, bound,
              pass ? "pass" : "fail");
  return pass;
}

consensus::LogEntry Entry(uint64_t index) {
  return {
      {1, index}, consensus::EntryKind::kCommand, std::string(200, 'x'), {}};
}

// A sync that takes longer than the heartbeat interval delays heartbeats, since
// both run on the same thread.
bool BenchAppend(const std::string& folder) {
  LogStore store(PosixFileOperations(), folder);
  store.Load({});
  std::vector<double> times;
  for (uint64_t i = 1; i <= 500; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    store.Append(Entry(i));
    store.SetHardState({1, {"a"}, {1, i}, i, false});
    store.Sync();
    times.push_back(
        Milliseconds(std::chrono::steady_clock::now() - begin).count());
  }
  std::sort(times.begin(), times.end());
  const bool median =
      Report("append_synced_p50", times[times.size() / 2], "ms", 100);
  return Report("append_synced_p99", times[times.size() * 99 / 100], "ms",
                100) &&
         median;
}

// A restarted VM must be available reopened within 3 s, the limit for operation
// without a leader.
bool BenchStart(const std::string& folder, uint64_t entries) {
  {
    LogStore store(PosixFileOperations(), folder);
    store.Load({});
    for (uint64_t i = 1; i <= entries; ++i) {
      store.Append(Entry(i));
      if (i % 10 == 0) {
        store.Sync();
      }
    }
    store.Sync();
  }
  const auto begin = std::chrono::steady_clock::now();
  LogStore store(PosixFileOperations(), folder);
  store.Load({});
  const Milliseconds time = std::chrono::steady_clock::now() - begin;
  return Report("start_" + std::to_string(entries) + "_entries", time.count(),
                "ms", 3000);
}

// Ten heartbeats per second must stay below the limit of 6 KB/s per node.
bool BenchMessages() {
  consensus::Message message = {
      {"control-a"},        {"control-b"}, 7, std::string(32, 'f'),
      std::string(32, 'f'), false,         {}};
  consensus::AppendRequest request;
  request.previous = {7, 100000};
  request.commit_index = 100000;
  request.round = 1000000;
  message.body = request;
  const auto size = [&] {
    return static_cast<double>(proto::ToMessage(message).ByteSizeLong());
  };
  const double heartbeat = size();
  bool pass = Report("heartbeat", heartbeat, "bytes", 600);
  request.entries = {Entry(100001)};
  message.body = request;
  // Overhead of an entry with a 200-byte payload: position, kind and lengths.
  pass =
      Report("entry_overhead", size() - heartbeat - 200, "bytes", 64) && pass;
  message.body = consensus::AppendReply{true, 100001, 1000000};
  return Report("append_reply", size(), "bytes", 600) && pass;
}

}  // namespace
}  // namespace gooseberryrock::storage

int main() {
  namespace storage = gooseberryrock::storage;
  const auto folder =
      std::filesystem::temp_directory_path() / "gooseberryrock_storage_bench";
  const auto fresh = [&] {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder.string();
  };
  bool pass = storage::BenchAppend(fresh());
  for (uint64_t entries : {100, 1000, 10000}) {
    pass = storage::BenchStart(fresh(), entries) && pass;
  }
  pass = storage::BenchMessages() && pass;
  std::filesystem::remove_all(folder);
  return pass ? 0 : 1;
}
