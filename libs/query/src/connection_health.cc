// When a connection counts as silent, and how fast connections are replaced.

#include "gooseberryrock/query/connection_health.h"

#include <algorithm>

namespace gooseberryrock::query {

Duration SilenceTime(const ConnectionPolicy& policy,
                     std::optional<Duration> p99) {
  if (!p99) {
    return policy.longest_silence;
  }
  return std::clamp(
      std::chrono::duration_cast<Duration>(policy.silence_factor * *p99),
      policy.shortest_silence, policy.longest_silence);
}

void OnConnectionAnswered(ConnectionHealth& health) {
  health.silent_when_new = 0;
}

bool OnConnectionSilent(ConnectionHealth& health,
                        const ConnectionPolicy& policy,
                        bool answered_before,
                        uint32_t max_connections,
                        SteadyTime now) {
  if (!answered_before) {
    ++health.silent_when_new;
  }
  const std::chrono::duration<double> since = now - health.refilled_at;
  const std::chrono::duration<double> period = policy.replacement_period;
  health.replacements =
      std::min<double>(max_connections, health.replacements +
                                            max_connections * (since / period));
  health.refilled_at = now;
  if (health.silent_when_new > 1 || health.replacements < 1) {
    return false;
  }
  health.replacements -= 1;
  return true;
}

uint32_t ConnectionsToOpen(uint32_t busy,
                           uint32_t idle_or_connecting,
                           uint32_t max_connections) {
  const uint32_t open = busy + idle_or_connecting;
  if (open >= max_connections || idle_or_connecting > 0) {
    return 0;
  }
  return 1;
}

}  // namespace gooseberryrock::query
