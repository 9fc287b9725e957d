// Virtual-time simulation of entry nodes that share backend servers. The nodes
// make all decisions with the query library; servers, network and connections
// are fakes.

#ifndef GOOSEBERRYROCK_TESTS_QUERY_SIMULATION_H_
#define GOOSEBERRYROCK_TESTS_QUERY_SIMULATION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "gooseberryrock/catalog/service_definition.h"
#include "gooseberryrock/query/attempt_budget.h"
#include "gooseberryrock/query/connection_health.h"
#include "gooseberryrock/query/query_machine.h"
#include "gooseberryrock/query/server_stats.h"
#include "gooseberryrock/query/server_view.h"
#include "gooseberryrock/query/service_estimates.h"

namespace gooseberryrock::query::sim {

struct RankLoad {
  double queries_per_second = 0;
  Duration deadline = std::chrono::milliseconds(400);
};

struct Config {
  size_t shards = 10;
  size_t domains = 3;
  size_t nodes = 6;
  uint32_t slots = 3;
  uint32_t connection_limit = 30;
  Duration connect_time = std::chrono::milliseconds(6);
  // One-way delay between failure domains.
  Duration domain_delay = std::chrono::microseconds(1500);
  Duration mean_service = std::chrono::milliseconds(10);
  double sigma = 0.5;
  std::array<RankLoad, kRankCount> load;
  std::array<double, kRankCount> floors = {0.2, 0.2, 0.1};
  // Uses round-robin routing, one retry and a single queue instead.
  bool baseline = false;
  uint64_t seed = 1;
};

// One server with one replica of one shard; servers of a shard are in
// different failure domains.
struct Server {
  size_t shard = 0;
  size_t domain = 0;
  uint32_t slots = 1;
  // Faults.
  double slowdown = 1;
  SteadyTime stalled_until;
  bool down = false;
  bool shedding = false;
  bool fails_fast = false;
  bool draining = false;
  // Number of replies until a cold server reaches full speed, and its slowdown
  // until then.
  uint32_t cold_replies = 0;
  double cold_slowdown = 1;
  // State.
  uint32_t running = 0;
  std::deque<std::function<void()>> queue;
  uint32_t open_connections = 0;
  uint32_t most_connections = 0;
  uint64_t connects = 0;
  uint64_t received = 0;
  size_t longest_queue = 0;
  Duration busy = Duration::zero();
  Duration wasted = Duration::zero();
};

struct Connection {
  uint64_t id = 0;
  bool ready = false;
  bool unresponsive = false;
  bool answered_before = false;
  // 0 when idle.
  AttemptId attempt = 0;
  bool abandoned = false;
};

struct Pool {
  std::map<uint64_t, Connection> connections;
  std::deque<AttemptId> waiting;
  ConnectionHealth health;
};

struct RunningAttempt {
  uint64_t query = 0;
  size_t server = 0;
  Rank rank = Rank::kUrgent;
  SteadyTime sent;
  SteadyTime deadline;
};

struct RunningQuery {
  QueryState state;
  Rank rank = Rank::kUrgent;
  SteadyTime arrived;
  SteadyTime started;
};

struct Node {
  size_t domain = 0;
  std::vector<ServerView> views;
  std::vector<Pool> pools;
  AdmissionState admission;
  ServiceEstimates estimates;
  ServicePolicies policies;
  AttemptBudget budget{.share = 0.05, .capacity = 20, .tokens = 5};
  AttemptIdSource ids;
  std::map<uint64_t, RunningQuery> waiting;
  std::map<uint64_t, RunningQuery> queries;
  std::map<AttemptId, RunningAttempt> attempts;
  // Used only by the baseline.
  std::deque<uint64_t> fifo;
  std::vector<size_t> next_replica;
  bool stopping = false;
  std::optional<SteadyTime> admission_timer;
};

struct Outcome {
  Rank rank = Rank::kUrgent;
  SteadyTime arrived;
  Duration latency = Duration::zero();
  Duration deadline = Duration::zero();
  AnswerStatus status = AnswerStatus::kNotRun;
  // Refused by admission control.
  bool refused = false;

  bool on_time() const {
    return status == AnswerStatus::kComplete && latency <= deadline;
  }
};

class Simulation {
 public:
  explicit Simulation(const Config& config);

  // Calls `event` at `time` seconds after the start.
  void At(double time, std::function<void()> event);
  void Run(double until);
  // Makes all open connections of all nodes unresponsive.
  void MakeConnectionsUnresponsive();
  // Partitions `domain` from the others, or heals the partition.
  void Partition(size_t domain, bool cut);
  void Restart(Server& server, uint32_t cold_replies, double cold_slowdown);
  double Capacity() const;
  void SetLoad(Rank rank, double queries_per_second);

  std::vector<Server> servers;
  std::vector<Node> nodes;
  std::vector<Outcome> outcomes;
  uint64_t first_attempts = 0;
  uint64_t attempts = 0;
  // Longest time that a query stayed queued after its deadline.
  Duration held_past_deadline = Duration::zero();
  uint64_t late_sends_to_draining = 0;
  uint64_t interrupted = 0;

 private:
  using Event = std::pair<SteadyTime, uint64_t>;

  void After(Duration delay, std::function<void()> event);
  void ScheduleArrival(size_t rank);
  void Arrive(Rank rank);
  const ServicePolicies& PoliciesOf(Node& node);
  void ApplyEffects(size_t n, const AdmissionEffects& effects);
  void Refuse(size_t n, uint64_t ticket);
  void StartFromFifo(size_t n);
  void Start(size_t n, uint64_t ticket);
  void ApplyEffects(size_t n, uint64_t query, QueryEffects effects);
  void Finish(size_t n, uint64_t query, const Answer& answer);
  std::optional<size_t> Choose(Node& node, const AttemptToSend& attempt);
  void Send(size_t n, uint64_t query, const AttemptToSend& attempt);
  void Cancel(size_t n, const AttemptToCancel& cancel);
  void Dispatch(size_t n, size_t s);
  void Open(size_t n, size_t s);
  void Close(size_t n, size_t s, uint64_t connection);
  void Transmit(size_t n, size_t s, Connection& connection);
  void CheckSilence(size_t n, size_t s, uint64_t connection, AttemptId attempt);
  void Receive(size_t n, size_t s, uint64_t connection, AttemptId attempt);
  void Execute(size_t n, size_t s, uint64_t connection, AttemptId attempt);
  void NextJob(size_t s);
  void Reply(size_t n,
             size_t s,
             uint64_t connection,
             AttemptId attempt,
             AttemptEnd end);
  void End(size_t n, AttemptId attempt, AttemptEnd end);
  bool IsAwaited(size_t n, AttemptId attempt) const;
  bool IsPartitioned(size_t n, size_t s) const;
  Duration Delay(size_t n, size_t s) const;
  uint32_t ConnectionShare() const;

  Config config_;
  catalog::ServiceDefinition service_;
  SteadyTime now_{std::chrono::seconds(1000)};
  SteadyTime start_ = now_;
  std::map<Event, std::function<void()>> events_;
  uint64_t next_ = 1;
  std::mt19937_64 random_;
  std::set<size_t> partitioned_domains_;
};

}  // namespace gooseberryrock::query::sim

#endif  // GOOSEBERRYROCK_TESTS_QUERY_SIMULATION_H_
