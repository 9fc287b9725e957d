// Detection of silent connections and the rate limit on replacing them.

#include "gooseberryrock/query/connection_health.h"

#include <algorithm>

namespace gooseberryrock::query {

Duration SilenceTimeout(const ConnectionPolicy& policy,
                        std::optional<Duration> p99) {
  if (!p99) {
    return policy.max_silence_timeout;
  }
  return std::clamp(
      std::chrono::duration_cast<Duration>(policy.silence_factor * *p99),
      policy.min_silence_timeout, policy.max_silence_timeout);
}

void OnConnectionAnswered(ConnectionHealth& health) {
  health.unanswered_connections = 0;
}

bool OnConnectionSilent(ConnectionHealth& health,
                        const ConnectionPolicy& policy,
                        bool answered_before,
                        uint32_t max_connections,
                        SteadyTime now) {
  if (!answered_before) {
    ++health.unanswered_connections;
  }
  const std::chrono::duration<double> since = now - health.refilled_at;
  const std::chrono::duration<double> period = policy.replacement_period;
  health.replacement_tokens =
      std::min<double>(max_connections, health.replacement_tokens +
                                            max_connections * (since / period));
  health.refilled_at = now;
  if (health.unanswered_connections > 1 || health.replacement_tokens < 1) {
    return false;
  }
  health.replacement_tokens -= 1;
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
