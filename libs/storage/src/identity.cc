// Identity file: the owner of a data folder.

#include "gooseberryrock/storage/identity.h"

#include <array>
#include <cstdio>

#include "consensus.pb.h"
#include "gooseberryrock/storage/damaged_file_error.h"
#include "record.h"
#include "replace_file.h"

namespace gooseberryrock::storage {

namespace {

constexpr char kFileName[] = "identity";

std::string RandomStorageId(std::mt19937_64& random) {
  std::array<char, 33> text{};
  const auto high = static_cast<unsigned long long>(random());
  const auto low = static_cast<unsigned long long>(random());
  std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
  return text.data();
}

Identity Decode(const std::string& path, const std::string& content) {
  const ReadRecord record = ReadRecordAt(content, 0);
  proto::StorageIdentity message;
  if (record.status != RecordStatus::kComplete ||
      !message.ParseFromArray(record.body.data(),
                              static_cast<int>(record.body.size()))) {
    throw DamagedFileError(path, 0, "not a complete identity");
  }
  return {message.cluster(), {message.node()}, message.storage_id()};
}

std::string Encode(const Identity& identity) {
  proto::StorageIdentity message;
  message.set_cluster(identity.cluster);
  message.set_node(identity.node.value);
  message.set_storage_id(identity.storage_id);
  return EncodeRecord(message.SerializeAsString());
}

}  // namespace

Identity LoadOrCreateIdentity(const FileOperations& files,
                              const std::string& folder,
                              const std::string& cluster,
                              const NodeId& node,
                              std::mt19937_64& random) {
  const std::string path = folder + "/" + kFileName;
  if (const auto content = files.read(path)) {
    Identity identity = Decode(path, *content);
    if (identity.cluster != cluster || identity.node != node) {
      throw StorageError("data folder " + folder + " belongs to node " +
                         identity.node.value + " of cluster " +
                         identity.cluster);
    }
    // An earlier process may have crashed between the rename and the sync.
    files.sync_folder(folder);
    return identity;
  }
  if (files.read(folder + "/log") || files.read(folder + "/snapshot")) {
    throw StorageError("data folder " + folder +
                       " holds a log or a snapshot but no identity");
  }
  Identity identity = {cluster, node, RandomStorageId(random)};
  ReplaceFile(files, folder, kFileName, Encode(identity));
  return identity;
}

}  // namespace gooseberryrock::storage
