// Conversion of announcements of backend servers.

#include "gooseberryrock/proto/convert_server_record.h"

#include <algorithm>

#include "backend.pb.h"
#include "gooseberryrock/catalog/validate.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/proto/malformed_message_error.h"

namespace gooseberryrock::proto {

namespace {

constexpr uint32_t kMaxPort = 65535;
constexpr uint32_t kMaxSlots = 10000;
constexpr uint32_t kMaxConnectionLimit = 100000;
constexpr int kMaxLabels = 32;
constexpr int kMaxReplicas = 1000;
constexpr int kMaxIndexVersions = 16;

void Require(bool condition, const char* problem) {
  if (!condition) {
    throw MalformedMessageError(problem);
  }
}

void CheckRanges(const Announcement& message) {
  Require(catalog::IsValidName(message.id()), "id is missing or not a name");
  Require(message.incarnation() > 0, "incarnation must be at least 1");
  Require(catalog::IsValidName(message.service()),
          "service is missing or not a name");
  Require(catalog::IsValidName(message.failure_domain()),
          "failure_domain is missing or not a name");
  Require(catalog::IsValidName(message.host()),
          "host must be a numeric IP address");
  Require(message.port() > 0 && message.port() <= kMaxPort,
          "port must be 1 to 65535");
  Require(message.slots() > 0 && message.slots() <= kMaxSlots,
          "slots must be 1 to 10000");
  Require(message.connection_limit() > 0 &&
              message.connection_limit() <= kMaxConnectionLimit,
          "connection_limit must be 1 to 100000");
  Require(message.labels_size() <= kMaxLabels, "more than 32 labels");
  Require(message.replicas_size() <= kMaxReplicas, "more than 1000 replicas");
}

directory::ShardReplica FromReplica(const ShardReplica& message) {
  Require(catalog::IsValidName(message.shard()),
          "a replica's shard is missing or not a name");
  Require(message.index_versions_size() <= kMaxIndexVersions,
          "more than 16 index versions of a replica");
  directory::ShardReplica replica;
  replica.layout_version = message.layout_version();
  replica.shard.value = message.shard();
  replica.index_versions.assign(message.index_versions().begin(),
                                message.index_versions().end());
  std::sort(replica.index_versions.begin(), replica.index_versions.end());
  return replica;
}

}  // namespace

directory::ServerRecord FromMessage(const Announcement& message) {
  CheckRanges(message);
  const auto state = directory::ParseServerState(message.state());
  Require(state.has_value(), "state must be starting, ready, draining or gone");
  directory::ServerRecord record;
  record.id.value = message.id();
  record.incarnation = message.incarnation();
  record.state = *state;
  record.sequence = message.sequence();
  record.service.value = message.service();
  record.failure_domain.value = message.failure_domain();
  record.host = message.host();
  record.port = static_cast<uint16_t>(message.port());
  record.labels = {message.labels().begin(), message.labels().end()};
  for (const ShardReplica& replica : message.replicas()) {
    record.replicas.push_back(FromReplica(replica));
  }
  record.slots = message.slots();
  record.connection_limit = message.connection_limit();
  record.cold = message.cold();
  return record;
}

}  // namespace gooseberryrock::proto
