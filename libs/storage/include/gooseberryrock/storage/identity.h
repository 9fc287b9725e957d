// Identity file: the owner of a data folder.

#ifndef GOOSEBERRYROCK_STORAGE_IDENTITY_H_
#define GOOSEBERRYROCK_STORAGE_IDENTITY_H_

#include <compare>
#include <random>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/storage/file_operations.h"

namespace gooseberryrock::storage {

struct Identity {
  std::string cluster;
  NodeId node;
  // Random id, generated when the data folder is first used. A changed id means
  // that the previous content of the data folder was lost.
  std::string storage_id;

  auto operator<=>(const Identity&) const = default;
};

// Reads the file `identity` in `folder`. Creates it if it does not exist; it is
// durable on return. Throws DamagedFileError if the file is damaged, and
// StorageError if it belongs to another cluster or node, or is missing although
// the folder contains a log or a snapshot. `random` must be seeded from the
// operating system.
Identity LoadOrCreateIdentity(const FileOperations& files,
                              const std::string& folder,
                              const std::string& cluster,
                              const NodeId& node,
                              std::mt19937_64& random);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_IDENTITY_H_
