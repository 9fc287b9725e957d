// Persistent storage for the log, hard state and snapshot.

#include "gooseberryrock/storage/log_store.h"

#include <algorithm>
#include <utility>

#include "consensus.pb.h"
#include "gooseberryrock/proto/convert_consensus.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/storage/damaged_file_error.h"
#include "record.h"
#include "replace_file.h"

namespace gooseberryrock::storage {

namespace {

constexpr char kLogName[] = "log";
constexpr char kSnapshotName[] = "snapshot";

// Payload bytes after which a rewritten log starts a new record.
constexpr size_t kRewriteRecordBytes = size_t{1} << 20U;

}  // namespace

LogStore::LogStore(FileOperations files, std::string folder)
    : files_(std::move(files)),
      folder_(std::move(folder)),
      batch_(std::make_unique<proto::LogBatch>()) {}

LogStore::~LogStore() = default;

std::string LogStore::Path(const char* name) const {
  return folder_ + "/" + name;
}

template <typename Operation>
void LogStore::RunOrFail(const Operation& operation) {
  if (failed_) {
    throw StorageError("data folder " + folder_ +
                       " is unusable after an earlier failure");
  }
  // Set during the operation so that it remains set after any exception.
  failed_ = true;
  operation();
  failed_ = false;
}

consensus::StoredState LogStore::Load(const consensus::Membership& initial) {
  consensus::StoredState stored;
  RunOrFail([&] {
    bool has_snapshot = false;
    stored.snapshot.membership = initial;
    LoadSnapshot(stored.snapshot, has_snapshot);
    const auto content = files_.read(Path(kLogName));
    if (content) {
      LoadLog(*content);
    } else if (has_snapshot) {
      throw DamagedFileError(Path(kLogName), 0, "missing beside a snapshot");
    } else {
      files_.create(Path(kLogName));
      files_.sync(Path(kLogName));
    }
    // A rename or file creation before a crash may not be durable yet.
    files_.sync_folder(folder_);
    const consensus::Position& last = stored.snapshot.last;
    if (!entries_.empty() && entries_.front().position.index > last.index + 1) {
      throw DamagedFileError(Path(kLogName), 0,
                             "entries after the snapshot are missing");
    }
    const size_t n = entries_.size();
    DropCovered(last, n);
    if (entries_.size() != n) {
      RewriteLog();
    }
    stored.hard_state = hard_state_;
    stored.entries.assign(entries_.begin(), entries_.end());
  });
  return stored;
}

void LogStore::LoadSnapshot(consensus::Snapshot& snapshot, bool& found) {
  const std::string path = Path(kSnapshotName);
  const auto content = files_.read(path);
  found = content.has_value();
  if (!found) {
    return;
  }
  const ReadRecord record = ReadRecordAt(*content, 0);
  proto::LogSnapshot message;
  if (record.status != RecordStatus::kComplete ||
      !message.ParseFromArray(record.body.data(),
                              static_cast<int>(record.body.size()))) {
    throw DamagedFileError(path, 0, "not a complete snapshot");
  }
  snapshot = proto::FromMessage(std::move(message));
}

void LogStore::LoadLog(std::string_view content) {
  uint64_t offset = 0;
  while (offset < content.size()) {
    const ReadRecord record = ReadRecordAt(content, offset);
    if (record.status == RecordStatus::kDamaged) {
      throw DamagedFileError(Path(kLogName), offset, "checksum mismatch");
    }
    if (record.status == RecordStatus::kTorn) {
      files_.truncate(Path(kLogName), offset);
      break;
    }
    Replay(record.body, offset);
    offset += kRecordHeaderSize + record.body.size();
  }
  // The content read may not have been written to disk yet.
  files_.sync(Path(kLogName));
  log_size_ = offset;
}

void LogStore::Replay(std::string_view body, uint64_t offset) {
  const std::string path = Path(kLogName);
  proto::LogBatch batch;
  if (!batch.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    throw DamagedFileError(path, offset, "not a batch of changes");
  }
  for (proto::LogChange& change : *batch.mutable_changes()) {
    if (change.has_hard_state()) {
      hard_state_ = proto::FromMessage(change.hard_state());
    } else if (change.has_append()) {
      const uint64_t index = change.append().position().index();
      if (!entries_.empty() && entries_.back().position.index + 1 != index) {
        throw DamagedFileError(path, offset, "entries are not consecutive");
      }
      try {
        entries_.push_back(
            proto::FromMessage(std::move(*change.mutable_append())));
      } catch (const proto::MalformedMessageError& error) {
        throw DamagedFileError(path, offset, error.what());
      }
    } else {
      while (!entries_.empty() &&
             entries_.back().position.index >= change.truncate_from()) {
        entries_.pop_back();
      }
    }
  }
}

void LogStore::Append(const consensus::LogEntry& entry) {
  entries_.push_back(entry);
  *batch_->add_changes()->mutable_append() = proto::ToMessage(entry);
}

void LogStore::TruncateFrom(uint64_t index) {
  while (!entries_.empty() && entries_.back().position.index >= index) {
    entries_.pop_back();
  }
  batch_->add_changes()->set_truncate_from(index);
}

void LogStore::SetHardState(const consensus::HardState& hard_state) {
  hard_state_ = hard_state;
  *batch_->add_changes()->mutable_hard_state() = proto::ToMessage(hard_state);
}

void LogStore::Sync() {
  RunOrFail([&] {
    if (batch_->changes().empty()) {
      return;
    }
    const std::string record = EncodeRecord(batch_->SerializeAsString());
    batch_->Clear();
    files_.append(Path(kLogName), record);
    files_.sync(Path(kLogName));
    log_size_ += record.size();
  });
}

void LogStore::WriteSnapshot(const consensus::Snapshot& snapshot,
                             uint64_t retained_entries) {
  RunOrFail([&] {
    ReplaceFile(files_, folder_, kSnapshotName,
                EncodeRecord(proto::ToMessage(snapshot).SerializeAsString()));
    DropCovered(snapshot.last, retained_entries);
    RewriteLog();
  });
}

void LogStore::DropCovered(const consensus::Position& last, uint64_t retained) {
  if (entries_.empty() || entries_.front().position.index == last.index + 1) {
    return;
  }
  const uint64_t first = entries_.front().position.index;
  const bool is_contiguous = first <= last.index &&
                             last.index - first < entries_.size() &&
                             entries_[last.index - first].position == last;
  if (!is_contiguous) {
    entries_.clear();
    return;
  }
  while (!entries_.empty() &&
         entries_.front().position.index + retained <= last.index) {
    entries_.pop_front();
  }
}

void LogStore::RewriteLog() {
  std::string content;
  proto::LogBatch batch;
  size_t bytes = 0;
  const auto flush = [&] {
    content += EncodeRecord(batch.SerializeAsString());
    batch.Clear();
    bytes = 0;
  };
  *batch.add_changes()->mutable_hard_state() = proto::ToMessage(hard_state_);
  for (const consensus::LogEntry& entry : entries_) {
    *batch.add_changes()->mutable_append() = proto::ToMessage(entry);
    bytes += entry.payload.size();
    if (bytes >= kRewriteRecordBytes) {
      flush();
    }
  }
  flush();
  ReplaceFile(files_, folder_, kLogName, content);
  log_size_ = content.size();
}

void Persist(LogStore& store,
             const consensus::Effects& effects,
             const consensus::ConsensusConfig& config) {
  if (!effects.sync) {
    return;
  }
  if (effects.install_snapshot) {
    store.WriteSnapshot(*effects.install_snapshot, config.retained_entries);
  }
  if (effects.truncate_from) {
    store.TruncateFrom(*effects.truncate_from);
  }
  for (const consensus::LogEntry& entry : effects.append) {
    store.Append(entry);
  }
  if (effects.hard_state) {
    store.SetHardState(*effects.hard_state);
  }
  store.Sync();
}

}  // namespace gooseberryrock::storage
