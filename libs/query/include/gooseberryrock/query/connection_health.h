// When a connection to a server counts as silent, and how fast the connections
// to one server are replaced.

#ifndef GOOSEBERRYROCK_QUERY_CONNECTION_HEALTH_H_
#define GOOSEBERRYROCK_QUERY_CONNECTION_HEALTH_H_

#include <cstdint>
#include <optional>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct ConnectionPolicy {
  // A connection is silent after this many times the p99 of its service...
  double silence_factor = 1.5;
  // ... within these bounds.
  Duration shortest_silence = std::chrono::milliseconds(15);
  Duration longest_silence = std::chrono::seconds(1);
  // Time in which all connections to one server may be replaced once.
  Duration replacement_period = std::chrono::milliseconds(500);
};

// One server's connections as seen from one node.
struct ConnectionHealth {
  // Replacements at hand, at most the number of connections.
  double replacements = 0;
  SteadyTime refilled_at;
  // Connections opened after a silence that were silent as well. The server
  // itself is stalled then, and more connections do not help.
  uint32_t silent_when_new = 0;
};

// How long an attempt may be unanswered before its connection counts as silent.
Duration SilenceTime(const ConnectionPolicy& policy,
                     std::optional<Duration> p99);

void OnConnectionAnswered(ConnectionHealth& health);

// A connection is silent. `answered_before` says whether it ever gave a reply.
// Returns whether it may be replaced and its attempt sent again now.
bool OnConnectionSilent(ConnectionHealth& health,
                        const ConnectionPolicy& policy,
                        bool answered_before,
                        uint32_t max_connections,
                        SteadyTime now);

// Connections to open now, before they are needed: one more than the busy ones
// while the limit allows it.
uint32_t ConnectionsToOpen(uint32_t busy,
                           uint32_t idle_or_connecting,
                           uint32_t max_connections);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_CONNECTION_HEALTH_H_
