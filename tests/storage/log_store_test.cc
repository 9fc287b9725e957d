// Log store tests with faults injected at every file operation.

#include "gooseberryrock/storage/log_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "fake_disk.h"
#include "gooseberryrock/storage/damaged_file_error.h"
#include "gooseberryrock/storage/identity.h"

namespace gooseberryrock::storage {
namespace {

using consensus::EntryKind;
using consensus::HardState;
using consensus::LogEntry;
using consensus::Membership;
using consensus::Snapshot;
using consensus::StoredState;

constexpr CrashOutcome kOutcomes[] = {
    CrashOutcome::kNothing, CrashOutcome::kHalf, CrashOutcome::kGarbage,
    CrashOutcome::kEverything};

LogEntry Entry(uint64_t term, uint64_t index) {
  return {{term, index},
          EntryKind::kCommand,
          "payload " + std::to_string(term) + "/" + std::to_string(index),
          {}};
}

// Textual form of the stored state, without entries covered by the snapshot.
std::string Describe(const StoredState& state) {
  std::string text = "term " + std::to_string(state.hard_state.term) +
                     " snapshot " + std::to_string(state.snapshot.last.index) +
                     state.snapshot.data;
  for (const LogEntry& entry : state.entries) {
    if (entry.position.index > state.snapshot.last.index) {
      text += " " + entry.payload;
    }
  }
  return text;
}

using Step = std::function<void(LogStore&)>;

Step AppendStep(uint64_t hard_term, const std::vector<LogEntry>& entries) {
  return [=](LogStore& store) {
    consensus::Effects effects;
    effects.append = entries;
    effects.hard_state = HardState{hard_term, {"a"}, {}, 0, false};
    effects.sync.emplace();
    Persist(store, effects, {});
  };
}

Step SnapshotStep(uint64_t term, uint64_t index, uint64_t retained) {
  return [=](LogStore& store) {
    store.WriteSnapshot({{term, index}, {}, "data"}, retained);
  };
}

// Appends, a truncation with replacement entries in one batch, snapshots of the
// own log, and a snapshot of a diverged log that drops all entries.
std::vector<Step> Script() {
  return {AppendStep(1, {Entry(1, 1), Entry(1, 2), Entry(1, 3)}),
          [](LogStore& store) {
            consensus::Effects effects;
            effects.truncate_from = 3;
            effects.append = {Entry(2, 3), Entry(2, 4)};
            effects.hard_state = HardState{2, {"b"}, {}, 0, false};
            effects.sync.emplace();
            Persist(store, effects, {});
          },
          SnapshotStep(1, 2, 1),
          AppendStep(2, {Entry(2, 5)}),
          SnapshotStep(3, 9, 1),
          AppendStep(3, {Entry(3, 10), Entry(3, 11)}),
          SnapshotStep(3, 10, 5),
          AppendStep(4, {Entry(4, 12)})};
}

// Runs the script until a fault. Returns the number of acknowledged steps.
size_t RunScript(LogStore& store, const std::vector<Step>& script) {
  size_t acknowledged = 0;
  try {
    store.Load({});
    for (const Step& step : script) {
      step(store);
      ++acknowledged;
    }
  } catch (const ProcessStopped&) {
  } catch (const StorageError&) {
    // After a failure, all operations must fail.
    EXPECT_THROW(store.Sync(), StorageError);
    EXPECT_THROW(store.WriteSnapshot({}, 0), StorageError);
  }
  return acknowledged;
}

// Returns the expected state after each number of steps.
std::vector<std::string> ExpectedStates(const std::vector<Step>& script) {
  std::vector<std::string> states;
  for (size_t n = 0; n <= script.size(); ++n) {
    FakeDisk disk;
    LogStore store(FakeFileOperations(disk), "d");
    RunScript(store, {script.begin(), script.begin() + n});
    LogStore reopened(FakeFileOperations(disk), "d");
    states.push_back(Describe(reopened.Load({})));
  }
  return states;
}

struct MatrixResult {
  uint64_t cases = 0;
  uint64_t violations = 0;
};

// Checks that all acknowledged changes are loaded and that writing still works.
bool IsIntact(FakeDisk& disk,
              const std::vector<std::string>& expected,
              size_t acknowledged) {
  try {
    LogStore store(FakeFileOperations(disk), "d");
    const StoredState state = store.Load({});
    const std::string found = Describe(state);
    const size_t next = std::min(acknowledged + 1, expected.size() - 1);
    if (found != expected[acknowledged] && found != expected[next]) {
      return false;
    }
    const uint64_t last = state.entries.empty()
                              ? state.snapshot.last.index
                              : state.entries.back().position.index;
    AppendStep(9, {Entry(9, last + 1)})(store);
    LogStore reopened(FakeFileOperations(disk), "d");
    const StoredState reloaded = reopened.Load({});
    return reloaded.entries.back() == Entry(9, last + 1) &&
           reloaded.hard_state.term == 9;
  } catch (const StorageError&) {
    return false;
  }
}

// Injects a crash or failure at each operation of the script, followed by a
// crash at each operation of the next load.
MatrixResult RunMatrix(bool ignore_sync, bool ignore_sync_folder) {
  const std::vector<Step> script = Script();
  const std::vector<std::string> expected = ExpectedStates(script);
  MatrixResult result;
  for (FaultKind kind : {FaultKind::kStop, FaultKind::kFail}) {
    for (uint64_t at = 1;; ++at) {
      FakeDisk disk;
      disk.ignore_sync = ignore_sync;
      disk.ignore_sync_folder = ignore_sync_folder;
      disk.fault_at = at;
      disk.fault_kind = kind;
      LogStore store(FakeFileOperations(disk), "d");
      const size_t acknowledged = RunScript(store, script);
      for (CrashOutcome outcome : kOutcomes) {
        for (uint64_t load_at = 0; load_at < 12; ++load_at) {
          FakeDisk crashed = CopyDisk(disk);
          Crash(crashed, outcome);
          crashed.operations = 0;
          crashed.fault_at = load_at;
          crashed.fault_kind = FaultKind::kStop;
          if (load_at > 0) {
            LogStore interrupted(FakeFileOperations(crashed), "d");
            RunScript(interrupted, {});
            Crash(crashed, outcome);
          }
          ++result.cases;
          if (!IsIntact(crashed, expected, acknowledged)) {
            ++result.violations;
          }
        }
      }
      if (disk.operations < at) {
        break;
      }
    }
  }
  return result;
}

// Guards against the loss of acknowledged changes after a crash or a failed
// file operation.
TEST(LogStoreTest, AcknowledgedChangesSurviveFaultAtEveryOperation) {
  const MatrixResult result = RunMatrix(false, false);
  std::cout << "log store matrix: " << result.cases << " cases\n";
  EXPECT_EQ(result.violations, 0U);
}

// Guards against a matrix that does not detect missing syncs.
TEST(LogStoreTest, MatrixDetectsMissingSyncs) {
  EXPECT_GT(RunMatrix(true, false).violations, 0U);
  EXPECT_GT(RunMatrix(false, true).violations, 0U);
}

FakeDisk DiskWithRecords(std::vector<uint64_t>& ends) {
  FakeDisk disk;
  LogStore store(FakeFileOperations(disk), "d");
  store.Load({});
  for (uint64_t i = 1; i <= 4; ++i) {
    AppendStep(i, {Entry(i, i)})(store);
    ends.push_back(store.log_size());
  }
  return disk;
}

// Guards against damaged synced entries that are truncated as if torn, and
// against damaged data that is read as valid.
TEST(LogStoreTest, DamageBeforeTheLastRecordIsReportedWithItsOffset) {
  std::vector<uint64_t> ends;
  const FakeDisk original = DiskWithRecords(ends);
  for (uint64_t at = 0; at < ends.back(); ++at) {
    FakeDisk disk = CopyDisk(original);
    char& byte = disk.names.at("d/log")->current[at];
    byte = static_cast<char>(byte ^ 0x10);
    LogStore store(FakeFileOperations(disk), "d");
    if (at >= ends[2]) {
      EXPECT_EQ(store.Load({}).entries.size(), 3U) << at;
      continue;
    }
    const uint64_t start = at < ends[0] ? 0 : at < ends[1] ? ends[0] : ends[1];
    try {
      store.Load({});
      ADD_FAILURE() << "no error for damage at " << at;
    } catch (const DamagedFileError& error) {
      EXPECT_EQ(error.file(), "d/log");
      EXPECT_EQ(error.offset(), start) << at;
    }
  }
}

// Guards against a VM that cannot start after a torn last write.
TEST(LogStoreTest, TornLastRecordIsTruncated) {
  std::vector<uint64_t> ends;
  const FakeDisk original = DiskWithRecords(ends);
  for (uint64_t size = ends[2]; size < ends[3]; ++size) {
    FakeDisk disk = CopyDisk(original);
    disk.names.at("d/log")->current.resize(size);
    LogStore store(FakeFileOperations(disk), "d");
    EXPECT_EQ(store.Load({}).entries.size(), 3U);
    EXPECT_EQ(disk.names.at("d/log")->current.size(), ends[2]);
  }
}

// Guards against use of another VM's data folder, and against replacing a lost
// identity by a new one.
TEST(IdentityTest, IsMadeOnceAndBelongsToOneNode) {
  FakeDisk disk;
  const FileOperations files = FakeFileOperations(disk);
  std::mt19937_64 random(1);
  const auto load = [&](const char* cluster, const char* node) {
    return LoadOrCreateIdentity(files, "d", cluster, {node}, random);
  };
  const Identity first = load("c", "a");
  EXPECT_EQ(first.storage_id.size(), 32U);
  Crash(disk, CrashOutcome::kNothing);
  EXPECT_EQ(load("c", "a"), first);
  EXPECT_THROW(load("c", "b"), StorageError);
  EXPECT_THROW(load("other", "a"), StorageError);
  LogStore(files, "d").Load({});
  disk.names.erase("d/identity");
  EXPECT_THROW(load("c", "a"), StorageError);
}

// Guards against differences between the POSIX and fake file operations.
TEST(LogStoreTest, RealFilesSurviveReopening) {
  const std::string folder = testing::TempDir() + "/log_store_test";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  const std::vector<Step> script = Script();
  for (const Step& step : script) {
    LogStore store(PosixFileOperations(), folder);
    store.Load({});
    step(store);
  }
  LogStore store(PosixFileOperations(), folder);
  EXPECT_EQ(Describe(store.Load({})), ExpectedStates(script).back());
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace gooseberryrock::storage
