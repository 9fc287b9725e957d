// The classified reply of a backend server.

#ifndef GOOSEBERRYROCK_RELAY_SERVER_REPLY_H_
#define GOOSEBERRYROCK_RELAY_SERVER_REPLY_H_

#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/server_load.h"

namespace gooseberryrock::relay {

enum class ReplyKind {
  // Success with a complete result.
  kSuccess,
  // The server did not execute the request.
  kNotRun,
  // A different server uses the address; the request was not executed.
  kOtherServer,
  // The reply cannot be forwarded; the request may have been executed.
  kUnusable,
  // The server executed the request and it failed, or refused it permanently.
  kFailure,
};

struct ServerReply {
  ReplyKind kind = ReplyKind::kFailure;
  // Digest of the reply; included in a gathered answer.
  std::string digest;
  // The digests of the shards in the reply of a gathering node.
  std::vector<std::string> digests;
  // The records of a shard.
  std::string body;
  // The load that the server states, and whether its statement cannot be read.
  std::optional<ServerLoad> load;
  bool has_malformed_load = false;
  // Requests per second that the server accepts from all nodes together, if it
  // names a limit; finite and not negative.
  std::optional<double> request_limit;
  // The server leaves and wants no new requests.
  bool leaving = false;
  // The server refused the request and wants none for this time.
  std::optional<Duration> rest;
  // The reply makes a statement about the server that cannot be read.
  bool has_malformed_statement = false;
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_SERVER_REPLY_H_
