// The load that a backend server states in a reply.

#ifndef GOOSEBERRYROCK_RELAY_SERVER_LOAD_H_
#define GOOSEBERRYROCK_RELAY_SERVER_LOAD_H_

#include <cstdint>
#include <optional>

namespace gooseberryrock::relay {

struct ServerLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  // Requests that the server executes concurrently; 0 if it does not say.
  uint32_t slots = 0;
  // How long work takes at this moment relative to the usual time on that
  // server; positive. Not set if the server does not state it.
  std::optional<double> slowness;
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_SERVER_LOAD_H_
