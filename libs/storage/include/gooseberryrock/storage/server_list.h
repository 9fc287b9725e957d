// The backend servers that a control VM knew, kept over a restart.
//
// The list is a hint: servers announce themselves again within seconds, and
// what they say then counts. Until then entry nodes can already use them.

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

// The list in `folder`, empty when there is none. Throws StorageError, also
// when the list is damaged.
std::vector<directory::ServerRecord> LoadServerList(const FileOperations& files,
                                                    const std::string& folder);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_SERVER_LIST_H_
