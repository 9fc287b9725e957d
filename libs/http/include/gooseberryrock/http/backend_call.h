// An attempt to be sent to a backend server.

#ifndef GOOSEBERRYROCK_HTTP_BACKEND_CALL_H_
#define GOOSEBERRYROCK_HTTP_BACKEND_CALL_H_

#include <cstdint>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::http {

struct BackendCall {
  uint64_t attempt = 0;
  BackendServerId server;
  std::string path;
  std::string body;
  // The connection is closed if there is no reply by this time.
  SteadyTime deadline;
  // Send on a new connection that is not reused. On a reused connection a
  // request is sent again when the server closes the connection.
  bool at_most_once = false;
  // Returned with the result.
  ServiceName service = {};
  Rank rank = Rank::kUrgent;
  // The connection counts as silent if there is no reply for this long. Zero:
  // wait for the deadline.
  Duration silence_timeout = Duration::zero();
  // Current limit on calls in flight from this node to the server.
  uint32_t window = 1;
  // Posted to /v1/cancel when the call is aborted because its connection is
  // silent.
  std::string cancel_body = {};
  // Fingerprint of the request content; returned with the result.
  uint64_t fingerprint = 0;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_CALL_H_
