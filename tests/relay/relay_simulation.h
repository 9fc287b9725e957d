// Simulates callers, entry nodes and backend servers in virtual time to test
// the relay library under load.

#ifndef GOOSEBERRYROCK_TESTS_RELAY_RELAY_SIMULATION_H_
#define GOOSEBERRYROCK_TESTS_RELAY_RELAY_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/extra_attempt_limit.h"
#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/server_load.h"

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
  uint64_t seed = 1;
  // Nodes that send requests to the servers, and the limit on extra attempts
  // that they share; without a limit each has the default budget.
  size_t nodes = 4;
  std::optional<ExtraAttemptLimit> extra_attempts;
  double minimum_coverage = 0.89;
  // Parameters of the nodes before those of the options are applied.
  RelayPolicy policy;
  // Added to the one-way delay between a node and a server of another domain.
  // The domain of a node is its index modulo `servers_per_shard`.
  Duration cross_delay = Duration::zero();
  // Requests of a domain relative to its mean at a given time, at most 2; even
  // and constant if not set.
  std::function<double(size_t domain, Duration at)> demand;
  // What a server states about its load, instead of its true running and
  // waiting requests and slots.
  std::function<std::optional<
      ServerLoad>(size_t shard, size_t server, ServerLoad load, Duration at)>
      statement;
  // Baseline: no load balancing, no hedging, and all shards are required.
  bool baseline = false;
  // Factor for a server's processing time at a given time.
  std::function<double(size_t shard, size_t server, Duration at)> slowness;
  // The request rate that a server names in its replies at a given time; it
  // takes more, but should not get more. 0 if it names none.
  std::function<double(size_t shard, size_t server, Duration at)> limit;
  // How much longer a server wants no requests at a given time; it refuses
  // them.
  std::function<Duration(size_t shard, size_t server, Duration at)> rest;
  // Whether a server says in its replies that it leaves.
  std::function<bool(size_t shard, size_t server, Duration at)> leaving;
  // The fraction of a server's replies at a given time that are lost with their
  // connection.
  std::function<double(size_t shard, size_t server, Duration at)> lost;
  // Whether a node and a server of some index cannot reach each other at a
  // given time: requests are lost and get no reply.
  std::function<bool(size_t node, size_t server, Duration at)> cut_off;
  // Number of waiting requests from which a server refuses more; 0 if it takes
  // any number.
  size_t max_waiting = 0;
  // Whether a server is paused at a given time; it resumes its requests
  // afterwards.
  std::function<bool(size_t shard, size_t server, Duration at)> paused;
};

struct SimulatedArrival {
  // Since the start.
  Duration at;
  size_t node = 0;
  bool refused = false;
};

struct SimulationResult {
  size_t requests = 0;
  // Number of requests answered within the target, and those of them with all
  // shards.
  size_t in_time = 0;
  size_t complete = 0;
  // Sum of the squared coverage of the answers within the target.
  double value = 0;
  size_t refused = 0;
  // Number of requests that were answered late or failed.
  size_t late = 0;
  // Attempts beyond the first one of each shard of each request.
  size_t extra_attempts = 0;
  size_t attempts = 0;
  // Attempts sent to a server in another domain than the node.
  size_t crossed = 0;
  // Attempts that servers started, and the time that these waited there.
  size_t started = 0;
  Duration waited = Duration::zero();
  // Time until the answer of each gathered request, in order of the answers.
  std::vector<Duration> answer_times;
  // Attempts that left each domain in each 100 ms since the start.
  std::map<std::pair<size_t, int64_t>, size_t> crossed_by_interval;
  // The attempts that each server received.
  std::map<size_t, std::vector<SimulatedArrival>> arrivals;

  double CompleteShare() const {
    return static_cast<double>(complete) / static_cast<double>(requests);
  }
  double CrossedShare() const {
    return static_cast<double>(crossed) / static_cast<double>(attempts);
  }
  Duration MeanWait() const { return waited / static_cast<int64_t>(started); }
  // Mean change of the number of attempts that leave a domain from one interval
  // to the next.
  double CrossingSwing() const;
  Duration AnswerQuantile(double quantile) const;
  double Share(size_t n) const {
    return static_cast<double>(n) / static_cast<double>(requests);
  }
  double Value() const { return value / static_cast<double>(requests); }
};

SimulationResult Simulate(const SimulationOptions& options);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_TESTS_RELAY_RELAY_SIMULATION_H_
