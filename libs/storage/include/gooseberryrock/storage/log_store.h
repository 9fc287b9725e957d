// Persistent storage for the log, hard state and snapshot of a control VM.
//
// The file `log` is a sequence of records. All changes between two syncs form
// one record, so at most the last record can be incomplete after a crash. The
// file `snapshot` contains one record and is replaced atomically.

#ifndef GOOSEBERRYROCK_STORAGE_LOG_STORE_H_
#define GOOSEBERRYROCK_STORAGE_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "gooseberryrock/consensus/consensus.h"
#include "gooseberryrock/consensus/effects.h"
#include "gooseberryrock/storage/file_operations.h"

namespace gooseberryrock::proto {
class LogBatch;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::storage {

// Not thread-safe. After a failed operation, all further operations throw
// StorageError: the kernel may have dropped pages that it could not write, so
// that a repeated sync would report success for lost data.
class LogStore {
 public:
  // `folder` must exist.
  LogStore(FileOperations files, std::string folder);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  // Loads the stored state. Must be called once, before any other function.
  // Removes a torn last record. Without a snapshot, `initial` is returned as
  // the membership of the snapshot. Throws DamagedFileError.
  consensus::StoredState Load(const consensus::Membership& initial);

  // Buffered until Sync(). `entry` must directly follow the last entry.
  void Append(const consensus::LogEntry& entry);
  // Removes the entries from `index` on. Buffered until Sync().
  void TruncateFrom(uint64_t index);
  // Buffered until Sync().
  void SetHardState(const consensus::HardState& hard_state);
  // Writes all buffered changes and syncs them to disk.
  void Sync();

  // Replaces the snapshot, durable on return, and drops the covered entries
  // except the last `retained_entries`. Drops all entries if the log has none
  // at the snapshot's position. There must be no buffered changes.
  void WriteSnapshot(const consensus::Snapshot& snapshot,
                     uint64_t retained_entries);

  // Size of the log file in bytes.
  uint64_t log_size() const { return log_size_; }

 private:
  std::string Path(const char* name) const;
  // Runs `operation`; the store becomes unusable if it throws.
  template <typename Operation>
  void RunOrFail(const Operation& operation);
  void LoadSnapshot(consensus::Snapshot& snapshot, bool& found);
  void LoadLog(std::string_view content);
  void Replay(std::string_view body, uint64_t offset);
  // Drops the entries up to `last` except the last `retained`. Drops all
  // entries if the log is not contiguous with `last`.
  void DropCovered(const consensus::Position& last, uint64_t retained);
  void RewriteLog();

  FileOperations files_;
  std::string folder_;
  bool failed_ = false;
  uint64_t log_size_ = 0;
  consensus::HardState hard_state_;
  // Stored and buffered entries; needed to rewrite the log.
  std::deque<consensus::LogEntry> entries_;
  // Buffered changes.
  std::unique_ptr<proto::LogBatch> batch_;
};

// Writes the snapshot, truncation, entries and hard state in `effects` and
// syncs them. Has no effect unless `effects.sync` is set.
void Persist(LogStore& store,
             const consensus::Effects& effects,
             const consensus::ConsensusConfig& config);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_LOG_STORE_H_
