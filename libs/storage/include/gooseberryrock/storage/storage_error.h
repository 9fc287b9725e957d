// Error for failed operations on the data folder.

#ifndef GOOSEBERRYROCK_STORAGE_STORAGE_ERROR_H_
#define GOOSEBERRYROCK_STORAGE_STORAGE_ERROR_H_

#include "gooseberryrock/base/error.h"

namespace gooseberryrock::storage {

class StorageError : public Error {
 public:
  using Error::Error;
};

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_STORAGE_ERROR_H_
