// Conversions between directory records and the messages that exchange them.

#include "gooseberryrock/proto/convert_directory.h"

#include <string>
#include <utility>

#include "backend.pb.h"
#include "gooseberryrock/catalog/validate.h"
#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/directory_exchange.h"
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
  message.set_cold(record.cold);
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

ReadableRecords ReadRecords(
    const google::protobuf::RepeatedPtrField<ServerRecord>& messages) {
  ReadableRecords readable;
  readable.records.reserve(static_cast<size_t>(messages.size()));
  for (const ServerRecord& it : messages) {
    try {
      readable.records.push_back(FromMessage(it));
    } catch (const MalformedMessageError&) {
      ++readable.malformed;
    }
  }
  return readable;
}

DirectoryDelta ToMessage(const directory::DirectoryDelta& delta) {
  DirectoryDelta message;
  message.set_from(delta.from);
  message.set_to(delta.to);
  for (const directory::ServerRecord& record : delta.records) {
    *message.add_records() = ToMessage(record);
  }
  return message;
}

directory::DirectoryDelta FromMessage(const DirectoryDelta& message) {
  if (message.from() > message.to()) {
    throw MalformedMessageError("directory delta ends before it starts");
  }
  ReadableRecords readable = ReadRecords(message.records());
  return {message.from(), message.to(), std::move(readable.records),
          readable.malformed};
}

DirectoryDigest ToMessage(const directory::DirectoryDigest& digest) {
  DirectoryDigest message;
  message.set_root(digest.root);
  message.mutable_group_hashes()->Add(digest.groups.begin(),
                                      digest.groups.end());
  for (const auto& [group, hashes] : digest.leaves) {
    auto& it = *message.add_groups();
    it.set_group(group);
    it.mutable_leaf_hashes()->Add(hashes.begin(), hashes.end());
  }
  return message;
}

directory::DirectoryDigest FromMessage(const DirectoryDigest& message) {
  const auto n = static_cast<size_t>(message.group_hashes_size());
  if (n != 0 && n != directory::kDigestGroups) {
    throw MalformedMessageError(
        "directory digest has a wrong number of groups");
  }
  directory::DirectoryDigest digest;
  digest.root = message.root();
  digest.groups.assign(message.group_hashes().begin(),
                       message.group_hashes().end());
  for (const auto& it : message.groups()) {
    if (it.group() >= directory::kDigestGroups ||
        static_cast<size_t>(it.leaf_hashes_size()) !=
            directory::kLeavesPerGroup) {
      throw MalformedMessageError("a digest group is out of range");
    }
    digest.leaves[it.group()].assign(it.leaf_hashes().begin(),
                                     it.leaf_hashes().end());
  }
  return digest;
}

DirectoryPull ToMessage(const directory::DirectoryPull& pull) {
  DirectoryPull message;
  if (pull.since) {
    message.set_since(*pull.since);
  }
  message.mutable_leaves()->Add(pull.leaves.begin(), pull.leaves.end());
  for (const auto& [id, hash] : pull.known) {
    auto& it = *message.add_known();
    it.set_id(id.value);
    it.set_hash(hash);
  }
  message.set_reply(pull.reply);
  return message;
}

directory::DirectoryPull FromMessage(const DirectoryPull& message) {
  directory::DirectoryPull pull;
  if (message.has_since()) {
    pull.since = message.since();
  }
  for (uint32_t leaf : message.leaves()) {
    if (leaf >= directory::kDigestLeaves) {
      throw MalformedMessageError("a digest leaf is out of range");
    }
    pull.leaves.insert(leaf);
  }
  for (const auto& it : message.known()) {
    pull.known[{it.id()}] = it.hash();
  }
  pull.reply = message.reply();
  return pull;
}

}  // namespace gooseberryrock::proto
