// A file system in memory that can fail or stop at each operation and then
// shows what a crash may leave.

#ifndef GOOSEBERRYROCK_TESTS_STORAGE_FAKE_DISK_H_
#define GOOSEBERRYROCK_TESTS_STORAGE_FAKE_DISK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gooseberryrock/storage/file_operations.h"
#include "gooseberryrock/storage/storage_error.h"

namespace gooseberryrock::storage {

// Thrown where the process stops. Not a StorageError, so that nothing in the
// store can mistake it for a failure that it may handle.
struct ProcessStopped {};

enum class FaultKind { kStop, kFail };

// What survives of writes that were not synced.
enum class CrashOutcome { kNothing, kHalf, kGarbage, kEverything };

struct FakeInode {
  std::string current;
  std::string durable;
};

struct FakeDisk {
  std::map<std::string, std::shared_ptr<FakeInode>> names;
  std::map<std::string, std::shared_ptr<FakeInode>> durable_names;
  uint64_t operations = 0;
  // The operation with this number, counted from 1, is hit.
  uint64_t fault_at = 0;
  FaultKind fault_kind = FaultKind::kStop;
  // Breaks the executor on purpose.
  bool ignore_sync = false;
  bool ignore_sync_folder = false;
};

inline bool IsHit(FakeDisk& disk) {
  return ++disk.operations == disk.fault_at;
}

inline void Hit(FakeDisk& disk) {
  if (disk.fault_kind == FaultKind::kStop) {
    throw ProcessStopped();
  }
  throw StorageError("injected failure");
}

inline FileOperations FakeFileOperations(FakeDisk& disk) {
  FileOperations files;
  files.read = [&disk](const std::string& path) -> std::optional<std::string> {
    auto it = disk.names.find(path);
    if (it == disk.names.end()) {
      return std::nullopt;
    }
    return it->second->current;
  };
  files.create = [&disk](const std::string& path) {
    if (IsHit(disk)) {
      Hit(disk);
    }
    disk.names[path] = std::make_shared<FakeInode>();
  };
  files.append = [&disk](const std::string& path, std::string_view data) {
    std::string& content = disk.names.at(path)->current;
    if (IsHit(disk)) {
      content += data.substr(0, data.size() / 2);
      Hit(disk);
    }
    content += data;
  };
  files.sync = [&disk](const std::string& path) {
    if (IsHit(disk)) {
      Hit(disk);
    }
    FakeInode& inode = *disk.names.at(path);
    if (!disk.ignore_sync) {
      inode.durable = inode.current;
    }
  };
  files.truncate = [&disk](const std::string& path, uint64_t size) {
    if (IsHit(disk)) {
      Hit(disk);
    }
    disk.names.at(path)->current.resize(size);
  };
  files.rename = [&disk](const std::string& from, const std::string& to) {
    if (IsHit(disk)) {
      Hit(disk);
    }
    disk.names[to] = disk.names.at(from);
    disk.names.erase(from);
  };
  files.sync_folder = [&disk](const std::string& /*path*/) {
    if (IsHit(disk)) {
      Hit(disk);
    }
    if (!disk.ignore_sync_folder) {
      disk.durable_names = disk.names;
    }
  };
  return files;
}

// Leaves what the next start of the process finds, without faults.
inline void Crash(FakeDisk& disk, CrashOutcome outcome) {
  if (outcome != CrashOutcome::kEverything) {
    // A file whose name is durable but whose content is not may be a renamed
    // one; a name that is not durable is lost.
    disk.names = disk.durable_names;
  }
  for (auto& [name, inode] : disk.names) {
    const std::string& durable = inode->durable;
    if (outcome == CrashOutcome::kNothing) {
      inode->current = durable;
    } else if (outcome != CrashOutcome::kEverything &&
               inode->current.size() > durable.size()) {
      const size_t added = inode->current.size() - durable.size();
      if (outcome == CrashOutcome::kHalf) {
        inode->current.resize(durable.size() + added / 2);
      } else {
        inode->current.replace(durable.size(), added, added, '\0');
      }
    }
    inode->durable = inode->current;
  }
  disk.durable_names = disk.names;
  disk.fault_at = 0;
}

// A copy that shares no inode with `disk`.
inline FakeDisk CopyDisk(const FakeDisk& disk) {
  FakeDisk copy = disk;
  std::map<FakeInode*, std::shared_ptr<FakeInode>> inodes;
  for (auto* names : {&copy.names, &copy.durable_names}) {
    for (auto& [name, inode] : *names) {
      auto& it = inodes[inode.get()];
      if (!it) {
        it = std::make_shared<FakeInode>(*inode);
      }
      inode = it;
    }
  }
  return copy;
}

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_TESTS_STORAGE_FAKE_DISK_H_
