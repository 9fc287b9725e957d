// Conversions between directory records and the messages of their exchange.

#include "gooseberryrock/proto/convert_directory.h"

#include <string>

#include "backend.pb.h"
#include "gooseberryrock/catalog/validate.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/proto/convert_server_record.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "peer.pb.h"

namespace gooseberryrock::proto {

namespace {

Announcement ToAnnouncement(const directory::ServerRecord& record) {
  Announcement message;
  message.set_id(record.id.value);
  message.set_incarnation(record.incarnation);
  message.set_state(std::string(directory::ServerStateName(record.state)));
  message.set_sequence(record.sequence);
  message.set_service(record.service.value);
  message.set_failure_domain(record.failure_domain.value);
  message.set_host(record.host);
  message.set_port(record.port);
  message.mutable_labels()->insert(record.labels.begin(), record.labels.end());
  for (const directory::ShardReplica& replica : record.replicas) {
    ShardReplica& it = *message.add_replicas();
    it.set_layout_version(replica.layout_version);
    it.set_shard(replica.shard.value);
    it.mutable_index_versions()->Add(replica.index_versions.begin(),
                                     replica.index_versions.end());
  }
  message.set_slots(record.slots);
  message.set_connection_limit(record.connection_limit);
  return message;
}

}  // namespace

ServerRecord ToMessage(const directory::ServerRecord& record) {
  ServerRecord message;
  *message.mutable_announcement() = ToAnnouncement(record);
  message.set_owner(record.owner.value);
  message.set_owner_epoch(record.owner_epoch);
  return message;
}

directory::ServerRecord FromMessage(const ServerRecord& message) {
  if (!catalog::IsValidName(message.owner()) || message.owner_epoch() == 0) {
    throw MalformedMessageError("owner or owner_epoch is missing");
  }
  directory::ServerRecord record = FromMessage(message.announcement());
  record.owner.value = message.owner();
  record.owner_epoch = message.owner_epoch();
  return record;
}

std::vector<directory::ServerRecord> FromMessage(
    const DirectoryDelta& message) {
  std::vector<directory::ServerRecord> records;
  records.reserve(message.records_size());
  for (const ServerRecord& record : message.records()) {
    records.push_back(FromMessage(record));
  }
  return records;
}

}  // namespace gooseberryrock::proto
