// The log, the hard state and the snapshot of a control VM in its data folder.
//
// The file `log` is a sequence of records. All changes between two syncs are
// one record, so that at most the last record can be incomplete after a crash.
// The file `snapshot` holds one record and is replaced as a whole.

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

// Not thread-safe. After a failed operation every later one throws
// StorageError: the kernel may have dropped the pages that it could not write,
// so that a repeated sync would report success for data that is lost.
class LogStore {
 public:
  // `folder` must exist.
  LogStore(FileOperations files, std::string folder);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  // Reads everything, to be called once before anything else. A torn last
  // record is cut off. `initial` is returned as the membership of the snapshot
  // when there is no snapshot. Throws DamagedFileError.
  consensus::StoredState Load(const consensus::Membership& initial);

  // Buffered until Sync(). The entry must follow the last one.
  void Append(const consensus::LogEntry& entry);
  // Removes the entries from `index` on. Buffered until Sync().
  void TruncateFrom(uint64_t index);
  // Buffered until Sync().
  void SetHardState(const consensus::HardState& hard_state);
  // Makes everything buffered durable.
  void Sync();

  // Replaces the snapshot, durable on return, and drops the entries that it
  // covers except the last `retained_entries`. Drops all entries when the log
  // has none at the snapshot's position. Nothing may be buffered.
  void WriteSnapshot(const consensus::Snapshot& snapshot,
                     uint64_t retained_entries);

  // Size of the log file.
  uint64_t log_size() const { return log_size_; }

 private:
  std::string Path(const char* name) const;
  // Runs `operation`; a failure makes the store unusable.
  template <typename Operation>
  void Run(const Operation& operation);
  void LoadSnapshot(consensus::Snapshot& snapshot, bool& found);
  void LoadLog(std::string_view content);
  void Replay(std::string_view body, uint64_t offset);
  // Drops entries up to `last` except the last `retained`. Drops all entries
  // when they do not continue the log from `last`.
  void DropCovered(const consensus::Position& last, uint64_t retained);
  void RewriteLog();

  FileOperations files_;
  std::string folder_;
  bool failed_ = false;
  uint64_t log_size_ = 0;
  consensus::HardState hard_state_;
  // Entries on disk and buffered; needed to rewrite the log.
  std::deque<consensus::LogEntry> entries_;
  // Changes that are not yet synced.
  std::unique_ptr<proto::LogBatch> batch_;
};

// Carries out the storage part of `effects`: snapshot, truncation, entries and
// hard state, with one sync. Does nothing unless `effects.sync` is set.
void Persist(LogStore& store,
             const consensus::Effects& effects,
             const consensus::ConsensusConfig& config);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_LOG_STORE_H_
