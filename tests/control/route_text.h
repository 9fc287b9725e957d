// Route configuration texts of the size that the users' deployments have.

#ifndef GOOSEBERRYROCK_TESTS_CONTROL_ROUTE_TEXT_H_
#define GOOSEBERRYROCK_TESTS_CONTROL_ROUTE_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace gooseberryrock::control {

// About 40 KB.
inline constexpr size_t kTextServices = 90;
// A rollout in the users' deployments adds this many routes at once.
inline constexpr size_t kAddedRoutes = 1400;

// Returns a text with `services` services and `routes` routes beside those of
// the services. `limit` is the connection limit of the service in the middle.
inline std::string MakeRouteText(size_t services,
                                 size_t routes,
                                 uint64_t limit) {
  // NOLINTNEXTLINE(bugprone-random-generator-seed): the same text in each run.
  std::mt19937_64 random(7);
  std::string text;
  const auto add = [&text](std::string_view name, std::string_view value) {
    text.append("\"").append(name).append("\":\"").append(value).append("\",");
  };
  const auto add_number = [&text](std::string_view name, uint64_t value) {
    text.append("\"").append(name).append("\":");
    text.append(std::to_string(value)).append(",");
  };
  text += "{\"services\":[\n";
  for (size_t i = 0; i < services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    text += "  {";
    add("name", name);
    add_number("shards", 36);
    add_number("timeout_ms", 500 + random() % 1500);
    add_number("connection_limit", i == services / 2 ? limit : 20);
    add_number("latency_target_ms", 100 + random() % 300);
    add_number("least_coverage_percent", 90 + random() % 10);
    add("team", std::to_string(random()));
    add("build", std::to_string(random()));
    add("contact",
        "https://team.example/contact/" + std::to_string(random()) + name);
    add_number("created", 20261010 + i % 20);
    text += "},\n  {";
    add("path", "/v1/search/" + name);
    add("service", name);
    add_number("priority", random() % 4);
    add_number("attempts", 1 + random() % 3);
    add_number("retry_after_ms", random() % 1000);
    add("key", std::to_string(random()) + std::to_string(random()));
    text += "},\n";
  }
  for (size_t i = 0; i < routes; ++i) {
    text += "  {";
    add("path", "/v1/added/" + std::to_string(i));
    add("service", "service-" + std::to_string(i % services));
    add_number("priority", random() % 4);
    text += "},\n";
  }
  text += "]}\n";
  return text;
}

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_TESTS_CONTROL_ROUTE_TEXT_H_
