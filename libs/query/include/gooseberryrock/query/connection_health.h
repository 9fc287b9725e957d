// Detection of unresponsive ("silent") connections to a server, and the rate
// limit on replacing them.

#ifndef GOOSEBERRYROCK_QUERY_CONNECTION_HEALTH_H_
#define GOOSEBERRYROCK_QUERY_CONNECTION_HEALTH_H_

#include <cstdint>
#include <optional>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct ConnectionPolicy {
  // A connection counts as silent after this multiple of the p99 latency of the
  // service, clamped to the two bounds below.
  double silence_factor = 1.5;
  Duration min_silence_timeout = std::chrono::milliseconds(15);
  Duration max_silence_timeout = std::chrono::seconds(1);
  // Minimum time for replacing all connections to one server once.
  Duration replacement_period = std::chrono::milliseconds(500);
};

// State of this node's connections to one server.
struct ConnectionHealth {
  // Token bucket for replacing connections; holds at most the number of
  // connections.
  double replacement_tokens = 0;
  SteadyTime refilled_at;
  // Connections in a row that never replied. More than one means that the
  // server itself is stalled, and new connections do not help.
  uint32_t unanswered_connections = 0;
};

// Returns how long a reply may be outstanding before the connection counts as
// silent.
Duration SilenceTimeout(const ConnectionPolicy& policy,
                        std::optional<Duration> p99);

void OnConnectionAnswered(ConnectionHealth& health);

// Handles a silent connection. `answered_before` is true if the connection has
// returned a reply before. Returns whether to replace the connection and resend
// its attempt now.
bool OnConnectionSilent(ConnectionHealth& health,
                        const ConnectionPolicy& policy,
                        bool answered_before,
                        uint32_t max_connections,
                        SteadyTime now);

// Returns the number of connections to open in advance: keeps one idle
// connection in addition to the busy ones, within the limit.
uint32_t ConnectionsToOpen(uint32_t busy,
                           uint32_t idle_or_connecting,
                           uint32_t max_connections);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_CONNECTION_HEALTH_H_
