// The file operations of the data folder. Tests replace them to fail or stop at
// each step.

#ifndef GOOSEBERRYROCK_STORAGE_FILE_OPERATIONS_H_
#define GOOSEBERRYROCK_STORAGE_FILE_OPERATIONS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryrock::storage {

// Each operation throws StorageError when it fails.
struct FileOperations {
  // The whole content, or nothing when there is no such file.
  std::function<std::optional<std::string>(const std::string& path)> read;
  // Creates the file or empties it.
  std::function<void(const std::string& path)> create;
  // Writes at the end of the file.
  std::function<void(const std::string& path, std::string_view data)> append;
  // Syncs content and length of the file.
  std::function<void(const std::string& path)> sync;
  // Cuts the file to `size` bytes.
  std::function<void(const std::string& path, uint64_t size)> truncate;
  // Replaces `to`.
  std::function<void(const std::string& from, const std::string& to)> rename;
  // Syncs the directory entries of the folder `path`.
  std::function<void(const std::string& path)> sync_folder;
};

// Operations on the real file system. Files that are appended to stay open
// until they are replaced or the returned value is destroyed.
FileOperations PosixFileOperations();

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_FILE_OPERATIONS_H_
