// Atomic replacement of a file.

#ifndef GOOSEBERRYROCK_STORAGE_REPLACE_FILE_H_
#define GOOSEBERRYROCK_STORAGE_REPLACE_FILE_H_

#include <string>
#include <string_view>

#include "gooseberryrock/storage/file_operations.h"

namespace gooseberryrock::storage {

// Atomically replaces the content of the file `name` in `folder`. After a crash
// the file has either the old or the new content. The new content is durable on
// return.
void ReplaceFile(const FileOperations& files,
                 const std::string& folder,
                 const std::string& name,
                 std::string_view content);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_REPLACE_FILE_H_
