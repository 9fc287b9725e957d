// Route configuration texts of the size that the users' deployments have.

#ifndef GOOSEBERRYROCK_TESTS_CONTROL_ROUTE_TEXT_H_
#define GOOSEBERRYROCK_TESTS_CONTROL_ROUTE_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace gooseberryrock::control {

// About 40 KB.
inline constexpr size_t kTextServices = 90;
// A rollout in the users' deployments adds this many routes at once.
inline constexpr size_t kAddedRoutes = 1400;

// Returns a text with `services` services and `routes` routes beside those of
// the services. `limit` is the connection limit of the service in the middle.
inline std::string MakeRouteText(size_t services, size_t routes, int limit) {
  // NOLINTNEXTLINE(bugprone-random-generator-seed): the same text in each run.
  std::mt19937_64 random(7);
  std::string text = "{\"services\":[\n";
  for (size_t i = 0; i < services; ++i) {
    const std::string n = std::to_string(i);
    const int own_limit = i == services / 2 ? limit : 20;
    text += "  {\"name\":\"service-" + n + "\",\"shards\":36,\"timeout_ms\":" +
            std::to_string(500 + random() % 1500) +
            ",\"connection_limit\":" + std::to_string(own_limit) +
            ",\"latency_target_ms\":" + std::to_string(100 + random() % 300) +
            ",\"least_coverage\":0.9" + std::to_string(random() % 10) +
            ",\"labels\":{\"team\":\"" + std::to_string(random()) +
            "\",\"build\":\"" + std::to_string(random()) +
            "\",\"contact\":\"https://team.example/contact/" +
            std::to_string(random()) + "/service-" + n +
            "\",\"created\":\"2026-10-" + std::to_string(10 + i % 20) +
            "\"}},\n" + "  {\"path\":\"/v1/search/service-" + n +
            "\",\"service\":\"service-" + n +
            "\",\"priority\":" + std::to_string(random() % 4) +
            ",\"attempts\":" + std::to_string(1 + random() % 3) +
            ",\"retry_after_ms\":" + std::to_string(random() % 1000) +
            ",\"key\":\"" + std::to_string(random()) +
            std::to_string(random()) + "\"},\n";
  }
  for (size_t i = 0; i < routes; ++i) {
    const std::string n = std::to_string(i);
    text += "  {\"path\":\"/v1/added/" + n + "\",\"service\":\"service-" +
            std::to_string(i % services) +
            "\",\"priority\":" + std::to_string(random() % 4) + "},\n";
  }
  return text + "]}\n";
}

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_TESTS_CONTROL_ROUTE_TEXT_H_
