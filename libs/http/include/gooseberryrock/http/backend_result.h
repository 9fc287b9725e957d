// The result of a call to a backend server.

#ifndef GOOSEBERRYROCK_HTTP_BACKEND_RESULT_H_
#define GOOSEBERRYROCK_HTTP_BACKEND_RESULT_H_

#include <cstdint>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::http {

enum class BackendResultKind {
  // A complete HTTP reply was received.
  kReply,
  // No byte of the request was sent.
  kNotSent,
  // The request may have reached the server, but no complete reply was
  // received.
  kLost,
  // Like kLost: the connection stopped responding and was replaced.
  kSilent,
};

struct BackendResult {
  uint64_t attempt = 0;
  BackendServerId server;
  BackendResultKind kind = BackendResultKind::kNotSent;
  int http_status = 0;
  std::string body;
  // Time from passing the request to the connection until its end.
  Duration elapsed = Duration::zero();
  // Number of times the request was sent; two means that it was sent again on a
  // new connection.
  uint32_t times_sent = 0;
  // Copied from the call.
  ServiceName service;
  Rank rank = Rank::kUrgent;
  uint64_t fingerprint = 0;
  // For kNotSent: the server refused the connection.
  bool refused = false;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_RESULT_H_
