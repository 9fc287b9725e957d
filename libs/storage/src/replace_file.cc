// Replacement of a whole file.

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
  // Synced before the rename: else a crash could leave the new name with
  // incomplete content.
  files.sync(temporary);
  files.rename(temporary, path);
  files.sync_folder(folder);
}

}  // namespace gooseberryrock::storage
