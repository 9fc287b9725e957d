// Persistent list of known backend servers on a control VM.

#include "gooseberryrock/storage/server_list.h"

#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/storage/damaged_file_error.h"
#include "gooseberryrock/storage/file_operations.h"
#include "peer.pb.h"
#include "record.h"
#include "replace_file.h"

namespace gooseberryrock::storage {

namespace {

constexpr char kFileName[] = "servers";

}  // namespace

void SaveServerList(const FileOperations& files,
                    const std::string& folder,
                    const std::vector<directory::ServerRecord>& records) {
  proto::DirectoryDelta message;
  for (const directory::ServerRecord& it : records) {
    *message.add_records() = proto::ToMessage(it);
  }
  ReplaceFile(files, folder, kFileName,
              EncodeRecord(message.SerializeAsString()));
}

std::vector<directory::ServerRecord> LoadServerList(const FileOperations& files,
                                                    const std::string& folder) {
  const std::string path = folder + "/" + kFileName;
  const auto content = files.read(path);
  if (!content) {
    return {};
  }
  const ReadRecord record = ReadRecordAt(*content, 0);
  proto::DirectoryDelta message;
  if (record.status != RecordStatus::kComplete ||
      !message.ParseFromArray(record.body.data(),
                              static_cast<int>(record.body.size()))) {
    throw DamagedFileError(path, 0, "not a complete list of servers");
  }
  try {
    return proto::FromMessage(message).records;
  } catch (const proto::MalformedMessageError& e) {
    throw DamagedFileError(path, 0, e.what());
  }
}

}  // namespace gooseberryrock::storage
