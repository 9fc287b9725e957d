// Simulates callers, entry nodes and backend servers in virtual time.

#include "relay_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gooseberryrock/relay/relay_policy.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/server_reply.h"
#include "gooseberryrock/routes/route.h"

namespace gooseberryrock::relay {

namespace {

constexpr SteadyTime kStart = SteadyTime(std::chrono::hours(1));
// One-way network delay between a node and a server.
constexpr Duration kDelay = std::chrono::milliseconds(1);
// Polling interval for a paused server.
constexpr Duration kPauseStep = std::chrono::milliseconds(5);

struct Job {
  SteadyTime arrived;
  std::function<void(const ServerReply&)> reply;
};

struct Server {
  size_t shard = 0;
  size_t index = 0;
  uint32_t running = 0;
  std::deque<Job> waiting;
};

struct Request {
  size_t node = 0;
  std::shared_ptr<RequestState> state;
  // An attempt in flight.
  struct Flight {
    ServicePool* pool = nullptr;
    BackendServerId server;
    SteadyTime sent_at;
    bool overdue = false;
  };
  std::map<AttemptNumber, Flight> flights;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options)
      : options_(options), nodes_(options.nodes) {
    policy_ = options_.policy;
    random_.seed(options_.seed);
    if (options_.baseline) {
      policy_.overdue_quantile = 1;
      policy_.min_overdue_share = 1e6;
      policy_.max_overdue_share = 1e6;
      policy_.default_overdue_share = 1e6;
      policy_.answer_margin = -options_.target * 100;
      policy_.max_expected_share = {1e6, 1e6, 1e6};
      policy_.load_balance_factor = 0;
      policy_.cross_domain_share = 0;
    }
    for (size_t i = 0; i < options_.shards * options_.servers_per_shard; ++i) {
      servers_.push_back({i / options_.servers_per_shard,
                          i % options_.servers_per_shard,
                          0,
                          {}});
    }
    if (options_.extra_attempts) {
      policy_.extra_attempts = *options_.extra_attempts;
    }
    for (size_t n = 0; n < nodes_.size(); ++n) {
      MakePools(n);
    }
    route_.idempotent = true;
    route_.attempts = 2;
    route_.timeout = options_.target * 10;
    route_.target_latency = options_.target;
    routes::ShardedTarget target;
    target.top_records = 1;
    target.minimum_coverage = options_.minimum_coverage;
    route_.target = target;
  }

  SimulationResult Run() {
    At(kStart, [this] { Arrive(); });
    while (!events_.empty()) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    return result_;
  }

 private:
  void MakePools(size_t node) {
    for (size_t shard = 0; shard < options_.shards; ++shard) {
      ServicePool pool = MakePool({"s" + std::to_string(shard)}, policy_);
      if (options_.extra_attempts) {
        SetBudgetShare(pool, policy_, static_cast<uint32_t>(nodes_.size()));
      }
      for (size_t i = 0; i < options_.servers_per_shard; ++i) {
        PoolServer& server = pool.servers.emplace_back();
        server.id = {std::to_string(shard * options_.servers_per_shard + i)};
        server.same_domain = i == node % options_.servers_per_shard;
        server.slots = options_.slots;
        server.connection_share = 100;
        server.connections = 1;
        server.idle_connections = 1;
        server.request_limit.share = 1.0 / static_cast<double>(nodes_.size());
      }
      nodes_[node].push_back(std::move(pool));
    }
  }

  void At(SteadyTime time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

  void Arrive() {
    if (now_ - kStart >= options_.length) {
      return;
    }
    std::exponential_distribution<double> gap(
        options_.demand ? 2 * options_.rate : options_.rate);
    At(now_ + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(gap(random_))),
       [this] { Arrive(); });
    std::vector<ServicePool*> pools;
    auto request = std::make_shared<Request>();
    request->node = random_() % nodes_.size();
    if (options_.demand) {
      // The arrivals come at twice the rate, and the demand thins them out.
      std::uniform_real_distribution<double> chance(0, 2);
      if (chance(random_) >
          options_.demand(DomainOf(request->node), now_ - kStart)) {
        return;
      }
    }
    ++result_.requests;
    for (ServicePool& it : nodes_[request->node]) {
      pools.push_back(&it);
    }
    request->state = std::make_shared<RequestState>(
        MakeRequest(route_, pools, policy_, now_, now_ + route_.timeout));
    Apply(request, StartRequest(*request->state, {policy_, random_}, now_));
  }

  void Apply(const std::shared_ptr<Request>& request, RequestEffects effects) {
    for (AttemptNumber it : effects.overdue) {
      Request::Flight& flight = request->flights.at(it);
      flight.overdue = true;
      RecordOverdue(FindServer(*flight.pool, flight.server)->stats, now_);
    }
    if (effects.outcome) {
      Count(*request, *effects.outcome);
      return;
    }
    for (const AttemptToSend& it : effects.send) {
      Send(request, it);
    }
    if (effects.next_timer) {
      At(*effects.next_timer, [this, request] {
        if (!request->state->finished) {
          Apply(request,
                OnRequestTimer(*request->state, {policy_, random_}, now_));
        }
      });
    }
  }

  size_t DomainOf(size_t node) const {
    return node % options_.servers_per_shard;
  }

  Duration DelayTo(const Server& server, size_t node) const {
    return server.index == DomainOf(node) ? kDelay
                                          : kDelay + options_.cross_delay;
  }

  void Count(const Request& request, const Outcome& outcome) {
    if (std::holds_alternative<RefusedOutcome>(outcome)) {
      ++result_.refused;
      return;
    }
    const auto* answer = std::get_if<GatheredOutcome>(&outcome);
    result_.answer_times.push_back(now_ - request.state->received);
    if (answer == nullptr || now_ > request.state->received + options_.target) {
      ++result_.late;
      return;
    }
    ++result_.in_time;
    result_.complete += answer->missing_shards == 0 ? 1 : 0;
    const double coverage = static_cast<double>(answer->digests.size()) /
                            static_cast<double>(options_.shards);
    result_.value += coverage * coverage;
  }

  void Send(const std::shared_ptr<Request>& request,
            const AttemptToSend& attempt) {
    ++result_.attempts;
    if (attempt.cause != AttemptCause::kFirst) {
      ++result_.extra_attempts;
    }
    request->flights[attempt.number] = {attempt.pool, attempt.server, now_};
    ++FindServer(*attempt.pool, attempt.server)->stats.outstanding;
    Apply(request, OnAttemptSent(*request->state, attempt.number,
                                 {policy_, random_}, now_));
    Server& server = servers_[std::stoul(attempt.server.value)];
    if (options_.cut_off &&
        options_.cut_off(request->node, server.index, now_ - kStart)) {
      // An I/O shard closes connections without a reply this long after the
      // deadline.
      constexpr Duration kGrace = std::chrono::milliseconds(300);
      At(request->state->answer_deadline + kGrace,
         [this, request, number = attempt.number] { Silent(request, number); });
      return;
    }
    const Duration delay = DelayTo(server, request->node);
    if (server.index != DomainOf(request->node)) {
      ++result_.crossed;
      ++result_.crossed_by_interval[{
          DomainOf(request->node),
          (now_ - kStart) / std::chrono::milliseconds(100)}];
    }
    At(now_ + delay, [this, request, &server, delay, number = attempt.number] {
      const Duration rest = RestOf(server);
      result_.arrivals[static_cast<size_t>(&server - servers_.data())]
          .push_back({now_ - kStart, request->node, rest > Duration::zero()});
      if (options_.max_waiting > 0 &&
          server.waiting.size() >= options_.max_waiting) {
        At(now_ + delay, [this, request, number] {
          Reply(request, number, MakeReply(ReplyKind::kNotRun));
        });
        return;
      }
      if (rest > Duration::zero()) {
        At(now_ + delay, [this, request, number, rest] {
          ServerReply reply = MakeReply(ReplyKind::kNotRun);
          reply.rest = rest;
          Reply(request, number, std::move(reply));
        });
        return;
      }
      server.waiting.push_back(
          {now_, [this, request, number, delay](const ServerReply& reply) {
             At(now_ + delay, [this, request, number, reply] {
               Reply(request, number, reply);
             });
           }});
      Serve(server);
    });
  }

  bool IsPaused(const Server& it) const {
    return options_.paused &&
           options_.paused(it.shard, it.index, now_ - kStart);
  }

  bool IsReplyLost(const Server& it) {
    std::uniform_real_distribution<double> chance(0, 1);
    return options_.lost &&
           chance(random_) < options_.lost(it.shard, it.index, now_ - kStart);
  }

  Duration RestOf(const Server& it) const {
    return options_.rest ? options_.rest(it.shard, it.index, now_ - kStart)
                         : Duration::zero();
  }

  std::optional<double> LimitOf(const Server& it) const {
    const double limit =
        options_.limit ? options_.limit(it.shard, it.index, now_ - kStart) : 0;
    return limit > 0 ? std::optional(limit) : std::nullopt;
  }

  void Serve(Server& server) {
    while (server.running < options_.slots && !server.waiting.empty()) {
      Job job = std::move(server.waiting.front());
      server.waiting.pop_front();
      ++server.running;
      ++result_.started;
      result_.waited += now_ - job.arrived;
      const double x =
          options_.slowness
              ? options_.slowness(server.shard, server.index, now_ - kStart)
              : 1;
      std::uniform_real_distribution<double> spread(0.6, 1.4);
      At(now_ + std::chrono::duration_cast<Duration>(options_.work * x *
                                                     spread(random_)),
         [this, &server, job = std::move(job)] { End(server, job); });
    }
  }

  void End(Server& server, const Job& job) {
    if (IsPaused(server)) {
      At(now_ + kPauseStep, [this, &server, job] { End(server, job); });
      return;
    }
    --server.running;
    ServerReply reply = MakeReply(ReplyKind::kSuccess);
    if (IsReplyLost(server)) {
      reply.kind = ReplyKind::kUnusable;
    }
    reply.load =
        ServerLoad{server.running, static_cast<uint32_t>(server.waiting.size()),
                   options_.slots, std::nullopt};
    if (options_.statement) {
      reply.load = options_.statement(server.shard, server.index, *reply.load,
                                      now_ - kStart);
    }
    reply.request_limit = LimitOf(server);
    reply.leaving = options_.leaving &&
                    options_.leaving(server.shard, server.index, now_ - kStart);
    job.reply(reply);
    Serve(server);
  }

  static ServerReply MakeReply(ReplyKind kind) {
    ServerReply reply;
    reply.kind = kind;
    reply.digest = "d";
    return reply;
  }

  // What an I/O shard does with the statements in a reply.
  void RecordStatements(PoolServer& server,
                        const ServerReply& reply,
                        SteadyTime sent_at) const {
    RecordLimit(server.request_limit, reply.request_limit, sent_at, now_);
    if (reply.rest) {
      RecordRest(server.notices, *reply.rest, now_);
    } else {
      RecordAwake(server.notices, sent_at);
    }
    if (reply.leaving) {
      server.notices.leaving_since = now_;
      server.usable = false;
    }
  }

  void Reply(const std::shared_ptr<Request>& request,
             AttemptNumber number,
             ServerReply reply) {
    const Request::Flight flight = request->flights.at(number);
    PoolServer& server = *FindServer(*flight.pool, flight.server);
    --server.stats.outstanding;
    if (flight.overdue) {
      --server.stats.overdue;
    }
    const bool answered = reply.kind == ReplyKind::kSuccess;
    const bool is_lost = reply.kind == ReplyKind::kUnusable;
    RecordResult(
        server.stats, policy_,
        answered  ? AttemptResult::kAnswered
        : is_lost ? AttemptResult::kLost
                  : AttemptResult::kRefused,
        flight.sent_at,
        TypicalTime(*flight.pool, policy_, route_.rank, route_.target_latency),
        now_);
    if (reply.load) {
      RecordLoad(server.stats, *reply.load, now_);
      if (answered) {
        RecordObservedTime(server.stats.report, flight.sent_at,
                           TypicalTime(*flight.pool, policy_, route_.rank,
                                       route_.target_latency),
                           now_);
      }
    }
    RecordStatements(server, reply, flight.sent_at);
    if (answered) {
      RecordReplyTime(*flight.pool, policy_, route_.rank, now_ - flight.sent_at,
                      now_);
    }
    if (request->state->finished) {
      return;
    }
    if (is_lost) {
      Apply(request,
            OnAttemptFailed(*request->state, number, {policy_, random_}, now_));
      return;
    }
    Apply(request, OnAttemptReply(*request->state, number, std::move(reply),
                                  {policy_, random_}, now_));
  }

  void Silent(const std::shared_ptr<Request>& request, AttemptNumber number) {
    const Request::Flight flight = request->flights.at(number);
    ServerStats& stats = FindServer(*flight.pool, flight.server)->stats;
    --stats.outstanding;
    if (flight.overdue) {
      --stats.overdue;
    }
    RecordResult(stats, policy_, AttemptResult::kSilent, flight.sent_at,
                 Duration::zero(), now_);
    if (!request->state->finished) {
      Apply(request,
            OnAttemptFailed(*request->state, number, {policy_, random_}, now_));
    }
  }

  const SimulationOptions options_;
  RelayPolicy policy_;
  routes::Route route_;
  std::vector<std::vector<ServicePool>> nodes_;
  std::vector<Server> servers_;
  std::multimap<SteadyTime, std::function<void()>> events_;
  SteadyTime now_ = kStart;
  std::mt19937_64 random_{1};
  SimulationResult result_;
};

}  // namespace

Duration SimulationResult::AnswerQuantile(double quantile) const {
  std::vector<Duration> times = answer_times;
  const auto n =
      static_cast<ptrdiff_t>(quantile * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), times.begin() + n, times.end());
  return times[static_cast<size_t>(n)];
}

double SimulationResult::CrossingSwing() const {
  double sum = 0;
  size_t n = 0;
  for (const auto& [key, count] : crossed_by_interval) {
    const auto next = crossed_by_interval.find({key.first, key.second + 1});
    const size_t after = next == crossed_by_interval.end() ? 0 : next->second;
    sum += std::abs(static_cast<double>(after) - static_cast<double>(count));
    ++n;
  }
  return n > 0 ? sum / static_cast<double>(n) : 0;
}

SimulationResult Simulate(const SimulationOptions& options) {
  return Simulation(options).Run();
}

}  // namespace gooseberryrock::relay
