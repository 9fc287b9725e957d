// Atomic replacement of a file.

#include "replace_file.h"

namespace gooseberryrock::storage {

void ReplaceFile(const FileOperations& files,
                 const std::string& folder,
                 const std::string& name,
                 std::string_view content) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".tmp";
  files.create(temporary);
  files.append(temporary, content);
  // Sync before the rename; otherwise a crash could leave incomplete content
  // under the final name.
  files.sync(temporary);
  files.rename(temporary, path);
  files.sync_folder(folder);
}

}  // namespace gooseberryrock::storage
