// In-memory file system with fault injection at each operation and simulation
// of the state after a crash.

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

// Thrown at a simulated crash. Not a StorageError, so that the store does not
// handle it as a failed operation.
struct ProcessStopped {};

enum class FaultKind { kStop, kFail };

// Part of the unsynced writes that survives a crash.
enum class CrashOutcome { kNothing, kHalf, kGarbage, kEverything };

struct FakeInode {
  std::string current;
  std::string durable;
};

struct FakeDisk {
  std::map<std::string, std::shared_ptr<FakeInode>> names;
  std::map<std::string, std::shared_ptr<FakeInode>> durable_names;
  uint64_t operations = 0;
  // Number of the operation that fails, counted from 1; 0 for none.
  uint64_t fault_at = 0;
  FaultKind fault_kind = FaultKind::kStop;
  // Skip syncs, to verify that the tests detect missing ones.
  bool ignore_sync = false;
  bool ignore_sync_folder = false;
};

inline bool IsFaultDue(FakeDisk& disk) {
  return ++disk.operations == disk.fault_at;
}

inline void InjectFault(FakeDisk& disk) {
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
    if (IsFaultDue(disk)) {
      InjectFault(disk);
    }
    disk.names[path] = std::make_shared<FakeInode>();
  };
  files.append = [&disk](const std::string& path, std::string_view data) {
    std::string& content = disk.names.at(path)->current;
    if (IsFaultDue(disk)) {
      content += data.substr(0, data.size() / 2);
      InjectFault(disk);
    }
    content += data;
  };
  files.sync = [&disk](const std::string& path) {
    if (IsFaultDue(disk)) {
      InjectFault(disk);
    }
    FakeInode& inode = *disk.names.at(path);
    if (!disk.ignore_sync) {
      inode.durable = inode.current;
    }
  };
  files.truncate = [&disk](const std::string& path, uint64_t size) {
    if (IsFaultDue(disk)) {
      InjectFault(disk);
    }
    disk.names.at(path)->current.resize(size);
  };
  files.rename = [&disk](const std::string& from, const std::string& to) {
    if (IsFaultDue(disk)) {
      InjectFault(disk);
    }
    disk.names[to] = disk.names.at(from);
    disk.names.erase(from);
  };
  files.sync_folder = [&disk](const std::string& /*path*/) {
    if (IsFaultDue(disk)) {
      InjectFault(disk);
    }
    if (!disk.ignore_sync_folder) {
      disk.durable_names = disk.names;
    }
  };
  return files;
}

// Simulates a crash: sets the disk state found by the next process. Clears
// injected faults.
inline void Crash(FakeDisk& disk, CrashOutcome outcome) {
  if (outcome != CrashOutcome::kEverything) {
    // Names that are not durable are lost. A file with a durable name may still
    // lack durable content, for example after a rename.
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

// Returns a deep copy that shares no inodes with `disk`.
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
