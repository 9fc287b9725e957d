// One attempt on its way to a backend server.

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
  // The connection is closed when there is no reply by then.
  SteadyTime deadline;
  // Send on a connection that is opened by this call and not used again. On a
  // reused connection the HTTP client resends a request on its own when the
  // server closes the connection.
  bool at_most_once = false;
  // Returned with the result.
  ServiceName service = {};
  Rank rank = Rank::kUrgent;
  // The connection counts as silent when there is no reply for this long; zero
  // to wait for the deadline.
  Duration silence = Duration::zero();
  // Calls that the server may have in flight from this node at present.
  uint32_t window = 1;
  // Posted to /v1/cancel when the call is given up as silent.
  std::string cancel_body = {};
  // Of the request's content; returned with the result.
  uint64_t fingerprint = 0;
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_CALL_H_
