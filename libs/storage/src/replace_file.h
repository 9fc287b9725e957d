// Replacement of a whole file.

#ifndef GOOSEBERRYROCK_STORAGE_REPLACE_FILE_H_
#define GOOSEBERRYROCK_STORAGE_REPLACE_FILE_H_

#include <string>
#include <string_view>

#include "gooseberryrock/storage/file_operations.h"

namespace gooseberryrock::storage {

// Gives the file `name` in `folder` the content `content`. After a crash it has
// either the earlier or the new content; the new one is durable on return.
void ReplaceFile(const FileOperations& files,
                 const std::string& folder,
                 const std::string& name,
                 std::string_view content);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_REPLACE_FILE_H_
