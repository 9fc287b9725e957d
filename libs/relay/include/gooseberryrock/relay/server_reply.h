// What the decisions need to know of a reply of a backend server.

#ifndef GOOSEBERRYROCK_RELAY_SERVER_REPLY_H_
#define GOOSEBERRYROCK_RELAY_SERVER_REPLY_H_

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberryrock::relay {

enum class ReplyKind {
  // Success with the whole result.
  kSuccess,
  // The server did not run the request.
  kNotRun,
  // Another server has the address; the request did not run.
  kOtherServer,
  // Not a reply that may be passed on; the request may have run.
  kUnusable,
  // The server ran the request and failed, or has refused it for good.
  kFailure,
};

struct ServerReply {
  ReplyKind kind = ReplyKind::kFailure;
  // Names this reply of the server; part of a gathered answer.
  std::string digest;
  // The records of one shard.
  std::string body;
  // Requests running or waiting at the server, when it reported them.
  std::optional<uint32_t> load;
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_SERVER_REPLY_H_
