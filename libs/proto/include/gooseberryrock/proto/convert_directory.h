// Conversions between directory records and the messages that exchange them.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_

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

// Throw MalformedMessageError if a field is missing or out of range.
directory::ServerRecord FromMessage(const ServerRecord& message);
directory::DirectoryDelta FromMessage(const DirectoryDelta& message);
directory::DirectoryDigest FromMessage(const DirectoryDigest& message);
directory::DirectoryPull FromMessage(const DirectoryPull& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_
