// POSIX implementation of the file operations.

#include "gooseberryrock/storage/file_operations.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <map>
#include <memory>
#include <system_error>
#include <utility>

#include "gooseberryrock/storage/storage_error.h"

namespace gooseberryrock::storage {

namespace {

[[noreturn]] void ThrowErrno(const char* operation, const std::string& path) {
  const int ec = errno;
  throw StorageError(std::string(operation) + " of " + path +
                     " failed: " + std::generic_category().message(ec));
}

// Owns a file descriptor.
class File {
 public:
  File(const std::string& path, int flags)
      : fd_(open(path.c_str(), flags | O_CLOEXEC, 0640)) {}
  ~File() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  File(File&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  File& operator=(File&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  int fd() const { return fd_; }

 private:
  int fd_;
};

using OpenFiles = std::map<std::string, File>;

int OpenForAppend(OpenFiles& open_files, const std::string& path) {
  auto it = open_files.find(path);
  if (it == open_files.end()) {
    File file(path, O_WRONLY | O_APPEND);
    if (file.fd() < 0) {
      ThrowErrno("open", path);
    }
    it = open_files.emplace(path, std::move(file)).first;
  }
  return it->second.fd();
}

std::optional<std::string> ReadFile(const std::string& path) {
  const File file(path, O_RDONLY);
  if (file.fd() < 0) {
    if (errno == ENOENT) {
      return std::nullopt;
    }
    ThrowErrno("open", path);
  }
  std::string content;
  std::array<char, size_t{1} << 16U> buf{};
  while (true) {
    const ssize_t n = read(file.fd(), buf.data(), buf.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      ThrowErrno("read", path);
    }
    if (n == 0) {
      return content;
    }
    content.append(buf.data(), static_cast<size_t>(n));
  }
}

void CreateFile(OpenFiles& open_files, const std::string& path) {
  open_files.erase(path);
  File file(path, O_WRONLY | O_APPEND | O_CREAT | O_TRUNC);
  if (file.fd() < 0) {
    ThrowErrno("create", path);
  }
  open_files.emplace(path, std::move(file));
}

void AppendTo(OpenFiles& open_files,
              const std::string& path,
              std::string_view data) {
  const int fd = OpenForAppend(open_files, path);
  while (!data.empty()) {
    const ssize_t n = write(fd, data.data(), data.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      ThrowErrno("write", path);
    }
    data.remove_prefix(static_cast<size_t>(n));
  }
}

void RenameFile(OpenFiles& open_files,
                const std::string& from,
                const std::string& to) {
  open_files.erase(from);
  open_files.erase(to);
  if (std::rename(from.c_str(), to.c_str()) != 0) {
    ThrowErrno("rename", from);
  }
}

}  // namespace

FileOperations PosixFileOperations() {
  auto open_files = std::make_shared<OpenFiles>();
  FileOperations files;
  files.read = ReadFile;
  files.create = [open_files](const std::string& path) {
    CreateFile(*open_files, path);
  };
  files.append = [open_files](const std::string& path, std::string_view data) {
    AppendTo(*open_files, path, data);
  };
  files.sync = [open_files](const std::string& path) {
    if (fsync(OpenForAppend(*open_files, path)) != 0) {
      ThrowErrno("sync", path);
    }
  };
  files.truncate = [open_files](const std::string& path, uint64_t size) {
    if (ftruncate(OpenForAppend(*open_files, path), static_cast<off_t>(size)) !=
        0) {
      ThrowErrno("truncate", path);
    }
  };
  files.rename = [open_files](const std::string& from, const std::string& to) {
    RenameFile(*open_files, from, to);
  };
  files.sync_folder = [](const std::string& path) {
    const File folder(path, O_RDONLY | O_DIRECTORY);
    if (folder.fd() < 0 || fsync(folder.fd()) != 0) {
      ThrowErrno("sync", path);
    }
  };
  return files;
}

}  // namespace gooseberryrock::storage
