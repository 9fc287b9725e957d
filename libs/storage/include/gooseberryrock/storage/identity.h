// Names the owner of a data folder.

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
  // Random, made when the data folder is first used. Another one means that
  // the content of an earlier data folder of this VM is lost.
  std::string storage_id;

  auto operator<=>(const Identity&) const = default;
};

// Reads the file `identity` in `folder`, or writes it, durable on return, when
// there is none. Throws DamagedFileError, and StorageError when the file names
// another cluster or node, or is missing although the folder holds a log.
// `random` must be seeded from the operating system.
Identity LoadOrCreateIdentity(const FileOperations& files,
                              const std::string& folder,
                              const std::string& cluster,
                              const NodeId& node,
                              std::mt19937_64& random);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_IDENTITY_H_
