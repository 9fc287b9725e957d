// Requests, entry nodes and backend servers in virtual time, for the decisions
// of the relay library under load.

#ifndef GOOSEBERRYROCK_TESTS_RELAY_RELAY_SIMULATION_H_
#define GOOSEBERRYROCK_TESTS_RELAY_RELAY_SIMULATION_H_

#include <cstdint>
#include <functional>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::relay {

struct SimulationOptions {
  size_t shards = 10;
  size_t servers_per_shard = 3;
  uint32_t slots = 2;
  // Requests per second of all nodes together.
  double rate = 180;
  Duration work = std::chrono::milliseconds(11);
  Duration target = std::chrono::milliseconds(100);
  Duration length = std::chrono::seconds(20);
  size_t nodes = 4;
  double least_coverage = 0.89;
  // Random server, no second attempt, wait for all shards: the baseline.
  bool baseline = false;
  // Multiplies the work of a server at a time.
  std::function<double(size_t shard, size_t server, Duration at)> slowness;
  // Whether a server answers nothing at a time, and goes on afterwards.
  std::function<bool(size_t shard, size_t server, Duration at)> paused;
};

struct SimulationResult {
  size_t requests = 0;
  // Answered within the target.
  size_t in_time = 0;
  // Sum of the squares of the coverage of those.
  double value = 0;
  size_t refused = 0;
  // Attempts over the first of each shard of each request.
  size_t extra_attempts = 0;
  size_t attempts = 0;

  double Value() const { return value / static_cast<double>(requests); }
};

SimulationResult Simulate(const SimulationOptions& options);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_TESTS_RELAY_RELAY_SIMULATION_H_
