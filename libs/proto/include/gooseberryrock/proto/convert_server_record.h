// Conversion of announcements of backend servers.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_SERVER_RECORD_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_SERVER_RECORD_H_

namespace gooseberryrock::directory {
struct ServerRecord;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::proto {

class Announcement;

// Returns the announced record, without an owner. Throws MalformedMessageError
// naming the first field that is missing or out of range.
directory::ServerRecord FromMessage(const Announcement& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_SERVER_RECORD_H_
