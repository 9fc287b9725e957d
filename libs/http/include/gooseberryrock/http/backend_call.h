// One attempt on its way to a backend server.

#ifndef GOOSEBERRYROCK_HTTP_BACKEND_CALL_H_
#define GOOSEBERRYROCK_HTTP_BACKEND_CALL_H_

#include <cstdint>
#include <string>

#include "gooseberryrock/base/ids.h"
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
};

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_HTTP_BACKEND_CALL_H_
