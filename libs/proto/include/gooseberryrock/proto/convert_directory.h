// Conversions between directory records and the messages that exchange them.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_

#include <cstddef>
#include <vector>

namespace google::protobuf {
template <typename T>
class RepeatedPtrField;
}  // namespace google::protobuf

namespace gooseberryrock::directory {
struct DirectoryDelta;
struct DirectoryDigest;
struct DirectoryPull;
struct ServerRecord;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::proto {

class DirectoryDelta;
class DirectoryDigest;
class DirectoryPull;
class ServerRecord;

ServerRecord ToMessage(const directory::ServerRecord& record);
DirectoryDelta ToMessage(const directory::DirectoryDelta& delta);
DirectoryDigest ToMessage(const directory::DirectoryDigest& digest);
DirectoryPull ToMessage(const directory::DirectoryPull& pull);

// The records of a list that can be read.
struct ReadableRecords {
  std::vector<directory::ServerRecord> records;
  size_t malformed = 0;
};

// Leaves out the records with a field that is missing or out of range: one that
// another writer left must not keep the others from being used.
ReadableRecords ReadRecords(
    const google::protobuf::RepeatedPtrField<ServerRecord>& messages);

// Throw MalformedMessageError if a field is missing or out of range. Of a
// delta, this holds for all fields but the records; see ReadRecords().
directory::ServerRecord FromMessage(const ServerRecord& message);
directory::DirectoryDelta FromMessage(const DirectoryDelta& message);
directory::DirectoryDigest FromMessage(const DirectoryDigest& message);
directory::DirectoryPull FromMessage(const DirectoryPull& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_
