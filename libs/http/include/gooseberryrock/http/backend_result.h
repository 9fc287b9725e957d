// How an attempt ended on the connection.

#ifndef GOOSEBERRYROCK_HTTP_BACKEND_RESULT_H_
#define GOOSEBERRYROCK_HTTP_BACKEND_RESULT_H_

#include <cstdint>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::http {

enum class BackendResultKind {
  // There is a whole HTTP reply.
  kReply,
  // No byte of the request was sent.
  kNotSent,
  // The request may have reached the server, but there is no whole reply.
  kLost,
  // As kLost, because the connection stopped responding and was replaced.
  kSilent,
};

struct BackendResult {
  uint64_t attempt = 0;
  BackendServerId server;
  BackendResultKind kind = BackendResultKind::kNotSent;
  int http_status = 0;
  std::string body;
  // From handing the request to the connection to its end.
  Duration elapsed = Duration::zero();
  // Times that the HTTP client sent the request; more than one is a resend
  // that it made on its own.
  uint32_t times_sent = 0;
  // Of the call.
  ServiceName service;
  Rank rank = Rank::kUrgent;
  uint64_t fingerprint = 0;
  // For kNotSent: the server's address refused a connection.
  bool refused = false;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_RESULT_H_
