// Conversions between directory records and the messages of their exchange.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_

#include <vector>

namespace gooseberryrock::directory {
struct ServerRecord;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::proto {

class DirectoryDelta;
class ServerRecord;

ServerRecord ToMessage(const directory::ServerRecord& record);

// Throws MalformedMessageError when a field of the announcement is out of
// range, or the owner or its epoch is missing.
directory::ServerRecord FromMessage(const ServerRecord& message);

// The records of `message`. Throws MalformedMessageError.
std::vector<directory::ServerRecord> FromMessage(const DirectoryDelta& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_DIRECTORY_H_
