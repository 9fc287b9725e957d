// Error for a corrupted file in the data folder.

#ifndef GOOSEBERRYROCK_STORAGE_DAMAGED_FILE_ERROR_H_
#define GOOSEBERRYROCK_STORAGE_DAMAGED_FILE_ERROR_H_

#include <cstdint>
#include <string>

#include "gooseberryrock/storage/storage_error.h"

namespace gooseberryrock::storage {

class DamagedFileError : public StorageError {
 public:
  DamagedFileError(std::string file, uint64_t offset, const std::string& what);

  const std::string& file() const { return file_; }
  // Start offset of the damaged record.
  uint64_t offset() const { return offset_; }

 private:
  std::string file_;
  uint64_t offset_;
};

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_DAMAGED_FILE_ERROR_H_
