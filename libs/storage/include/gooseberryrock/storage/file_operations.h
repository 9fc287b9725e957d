// File operations on the data folder. Tests replace them to inject failures and
// crashes.

#ifndef GOOSEBERRYROCK_STORAGE_FILE_OPERATIONS_H_
#define GOOSEBERRYROCK_STORAGE_FILE_OPERATIONS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryrock::storage {

// Each operation throws StorageError on failure.
struct FileOperations {
  // Returns the complete content, or nullopt if the file does not exist.
  std::function<std::optional<std::string>(const std::string& path)> read;
  // Creates the file or truncates it to zero length.
  std::function<void(const std::string& path)> create;
  // Appends to the file.
  std::function<void(const std::string& path, std::string_view data)> append;
  // Syncs the content and length of the file to disk.
  std::function<void(const std::string& path)> sync;
  // Truncates the file to `size` bytes.
  std::function<void(const std::string& path, uint64_t size)> truncate;
  // Renames `from` to `to` and replaces an existing file.
  std::function<void(const std::string& from, const std::string& to)> rename;
  // Syncs the directory entries of the folder `path` to disk.
  std::function<void(const std::string& path)> sync_folder;
};

// POSIX implementation. Files opened for append remain open until they are
// replaced or the returned value is destroyed.
FileOperations PosixFileOperations();

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_FILE_OPERATIONS_H_
