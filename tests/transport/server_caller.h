// Calls servers through connections of the transport library.

#ifndef GOOSEBERRYROCK_TESTS_TRANSPORT_SERVER_CALLER_H_
#define GOOSEBERRYROCK_TESTS_TRANSPORT_SERVER_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gooseberryrock/transport/io_thread.h"
#include "gooseberryrock/transport/server_connection.h"

namespace gooseberryrock::transport {

class ServerCaller {
 public:
  ServerCaller() = default;
  ServerCaller(const ServerCaller&) = delete;
  ServerCaller& operator=(const ServerCaller&) = delete;
  ~ServerCaller();

  // Returns the reply to one GET request on a new connection to 127.0.0.1. The
  // test fails if it does not arrive in time.
  Reply Call(uint16_t port, size_t max_body);

  // Header fields `X` of the interim replies to the last call.
  std::vector<std::string> interim_fields() const;

  // Closes the connection of the last call.
  void Close();

 private:
  // The connection is used on the thread until that has stopped, and uses its
  // I/O context until it is destroyed.
  IoThread thread_;
  std::shared_ptr<ServerConnection> connection_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  std::vector<std::string> interim_fields_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TESTS_TRANSPORT_SERVER_CALLER_H_
