// Persistent list of known backend servers on a control VM.
//
// The list lets entry nodes use the servers directly after a restart of the VM.
// It is only a hint: servers announce themselves again within seconds, and
// announcements take precedence.

#ifndef GOOSEBERRYROCK_STORAGE_SERVER_LIST_H_
#define GOOSEBERRYROCK_STORAGE_SERVER_LIST_H_

#include <string>
#include <vector>

namespace gooseberryrock::directory {
struct ServerRecord;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::storage {

struct FileOperations;

// Replaces the list in `folder`. Throws StorageError.
void SaveServerList(const FileOperations& files,
                    const std::string& folder,
                    const std::vector<directory::ServerRecord>& records);

// Loads the list from `folder`; empty if there is none. Throws StorageError on
// read failure, and DamagedFileError if the list is damaged.
std::vector<directory::ServerRecord> LoadServerList(const FileOperations& files,
                                                    const std::string& folder);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_SERVER_LIST_H_
