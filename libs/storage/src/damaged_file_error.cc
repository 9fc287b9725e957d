// Error for a corrupted file in the data folder.

#include "gooseberryrock/storage/damaged_file_error.h"

#include <utility>

namespace gooseberryrock::storage {

DamagedFileError::DamagedFileError(std::string file,
                                   uint64_t offset,
                                   const std::string& what)
    : StorageError("file " + file + " is damaged at offset " +
                   std::to_string(offset) + ": " + what),
      file_(std::move(file)),
      offset_(offset) {}

}  // namespace gooseberryrock::storage
