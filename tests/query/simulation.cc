// Virtual-time simulation of entry nodes that share backend servers.

#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "gooseberryrock/query/routing.h"

namespace gooseberryrock::query::sim {

namespace {

constexpr Duration kLocalDelay = std::chrono::microseconds(100);
constexpr Duration kFastFailure = std::chrono::microseconds(300);
constexpr Snapshot kSnapshot{1, 1};

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

Simulation::Simulation(const Config& config)
    : config_(config), random_(config.seed) {
  for (size_t i = 0; i < kRankCount; ++i) {
    service_.rank_policies[i].floor_share = config.floors[i];
  }
  for (size_t shard = 0; shard < config.shards; ++shard) {
    for (size_t domain = 0; domain < config.domains; ++domain) {
      Server server;
      server.shard = shard;
      server.domain = domain;
      server.slots = config.slots;
      servers.push_back(std::move(server));
    }
  }
  nodes.resize(config.nodes);
  for (size_t n = 0; n < nodes.size(); ++n) {
    Node& node = nodes[n];
    node.domain = n % config.domains;
    node.ids = {n + config.nodes, config.nodes};
    node.pools.resize(servers.size());
    node.next_replica.assign(config.shards, n);
    if (config.baseline) {
      node.budget = {.share = 1, .capacity = 1e9, .tokens = 1e9};
    }
    for (size_t s = 0; s < servers.size(); ++s) {
      ServerView view;
      view.id.value = std::to_string(s);
      view.own_failure_domain = servers[s].domain == node.domain;
      view.slots = config.slots;
      node.views.push_back(std::move(view));
    }
  }
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    ScheduleArrival(rank);
  }
}

double Simulation::Capacity() const {
  const std::chrono::duration<double> service = config_.mean_service;
  return static_cast<double>(config_.domains * config_.slots) / service.count();
}

void Simulation::SetLoad(Rank rank, double queries_per_second) {
  RankLoad& load = config_.load[RankIndex(rank)];
  const bool idle = load.queries_per_second <= 0;
  load.queries_per_second = queries_per_second;
  if (idle) {
    ScheduleArrival(RankIndex(rank));
  }
}

void Simulation::At(double time, std::function<void()> event) {
  events_.emplace(Event{start_ + Seconds(time), next_++}, std::move(event));
}

void Simulation::After(Duration delay, std::function<void()> event) {
  events_.emplace(Event{now_ + delay, next_++}, std::move(event));
}

void Simulation::Run(double until) {
  const SteadyTime end = start_ + Seconds(until);
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto node = events_.extract(events_.begin());
    now_ = node.key().first;
    node.mapped()();
  }
}

void Simulation::ScheduleArrival(size_t rank) {
  const double rate = config_.load[rank].queries_per_second;
  if (rate <= 0) {
    return;
  }
  std::exponential_distribution<double> gap(rate);
  After(Seconds(gap(random_)), [this, rank] {
    Arrive(kAllRanks[rank]);
    ScheduleArrival(rank);
  });
}

void Simulation::Arrive(Rank rank) {
  std::uniform_int_distribution<size_t> any(0, nodes.size() - 1);
  size_t n = any(random_);
  while (nodes[n].stopping) {
    n = any(random_);
  }
  Node& node = nodes[n];
  const uint64_t ticket = next_++;
  RunningQuery& query = node.waiting[ticket];
  query.rank = rank;
  query.arrived = now_;
  const SteadyTime deadline = now_ + config_.load[RankIndex(rank)].deadline;
  query.state.request.rank = rank;
  query.state.request.deadline = deadline;
  query.state.request.row_limit = 1;
  if (config_.baseline) {
    node.fifo.push_back(ticket);
    StartFromFifo(n);
    return;
  }
  ApplyEffects(n, OnQueryArrived(node.admission, PoliciesOf(node).admission,
                                 rank, ticket, deadline, now_));
}

const ServicePolicies& Simulation::PoliciesOf(Node& node) {
  RefreshPolicies(node.policies, service_, node.estimates,
                  static_cast<uint32_t>(config_.slots * config_.domains),
                  static_cast<uint32_t>(config_.nodes), now_);
  return node.policies;
}

void Simulation::ApplyEffects(size_t n, const AdmissionEffects& effects) {
  for (const AdmissionRefusal& it : effects.refuse) {
    Refuse(n, it.ticket);
  }
  for (AdmissionTicket ticket : effects.start) {
    Start(n, ticket);
  }
  const auto due = effects.next_timer;
  if (due && (!nodes[n].admission_timer || *due < *nodes[n].admission_timer)) {
    nodes[n].admission_timer = due;
    events_.emplace(Event{*due, next_++}, [this, n] {
      Node& node = nodes[n];
      node.admission_timer.reset();
      ApplyEffects(n, OnAdmissionTimer(node.admission,
                                       PoliciesOf(node).admission, now_));
    });
  }
}

void Simulation::Refuse(size_t n, uint64_t ticket) {
  auto it = nodes[n].waiting.find(ticket);
  const RunningQuery& query = it->second;
  const SteadyTime deadline = query.state.request.deadline;
  held_past_deadline = std::max(held_past_deadline, now_ - deadline);
  outcomes.push_back({query.rank, query.arrived, now_ - query.arrived,
                      deadline - query.arrived, AnswerStatus::kNotRun, true});
  nodes[n].waiting.erase(it);
}

void Simulation::StartFromFifo(size_t n) {
  Node& node = nodes[n];
  const auto slots =
      static_cast<size_t>(std::lround(PoliciesOf(node).admission.slots));
  while (!node.fifo.empty() && node.queries.size() < slots) {
    const uint64_t ticket = node.fifo.front();
    node.fifo.pop_front();
    if (node.waiting[ticket].state.request.deadline <= now_) {
      Refuse(n, ticket);
    } else {
      Start(n, ticket);
    }
  }
}

void Simulation::Start(size_t n, uint64_t ticket) {
  Node& node = nodes[n];
  RunningQuery& query = node.queries[ticket];
  query = std::move(node.waiting[ticket]);
  node.waiting.erase(ticket);
  query.started = now_;
  held_past_deadline =
      std::max(held_past_deadline, now_ - query.state.request.deadline);
  query.state.plan.snapshot = kSnapshot;
  for (size_t i = 0; i < config_.shards; ++i) {
    query.state.plan.shards.push_back({std::to_string(i)});
  }
  if (config_.baseline) {
    query.state.policy.max_attempts_per_shard = 2;
  } else {
    query.state.policy = PoliciesOf(node).query[RankIndex(query.rank)];
  }
  first_attempts += config_.shards;
  ApplyEffects(n, ticket, StartQuery(query.state, node.ids, node.budget, now_));
}

void Simulation::ApplyEffects(size_t n, uint64_t query, QueryEffects effects) {
  for (const AttemptToCancel& it : effects.cancel) {
    Cancel(n, it);
  }
  if (effects.answer) {
    Finish(n, query, *effects.answer);
    return;
  }
  if (effects.next_timer) {
    events_.emplace(Event{*effects.next_timer, next_++}, [this, n, query] {
      Node& node = nodes[n];
      auto it = node.queries.find(query);
      if (it != node.queries.end()) {
        ApplyEffects(n, query,
                     OnTimer(it->second.state, node.ids, node.budget, now_));
      }
    });
  }
  for (const AttemptToSend& it : effects.send) {
    Send(n, query, it);
  }
}

void Simulation::Finish(size_t n, uint64_t query, const Answer& answer) {
  Node& node = nodes[n];
  auto it = node.queries.find(query);
  const RunningQuery done = std::move(it->second);
  node.queries.erase(it);
  outcomes.push_back({done.rank, done.arrived, now_ - done.arrived,
                      done.state.request.deadline - done.arrived, answer.status,
                      false});
  RecordQueryTime(node.estimates, done.rank, now_ - done.started, now_);
  if (config_.baseline) {
    StartFromFifo(n);
    return;
  }
  ApplyEffects(n, OnQueryEnded(node.admission, PoliciesOf(node).admission,
                               done.rank, now_ - done.started, now_));
}

std::optional<size_t> Simulation::Choose(Node& node,
                                         const AttemptToSend& attempt) {
  const size_t shard = std::stoul(attempt.shard.value);
  std::vector<ServerView> candidates;
  std::vector<size_t> index;
  for (size_t s = shard * config_.domains; s < (shard + 1) * config_.domains;
       ++s) {
    if (node.views[s].id.empty()) {
      continue;
    }
    candidates.push_back(node.views[s]);
    index.push_back(s);
  }
  if (config_.baseline && !index.empty()) {
    return index[node.next_replica[shard]++ % index.size()];
  }
  RoutingPolicy policy;
  policy.cross_domain_delay = 2 * config_.domain_delay;
  const auto chosen =
      ChooseServer(candidates, attempt.excluded, policy, random_, now_);
  return chosen ? std::optional(index[*chosen]) : std::nullopt;
}

void Simulation::Send(size_t n, uint64_t query, const AttemptToSend& attempt) {
  Node& node = nodes[n];
  auto it = node.queries.find(query);
  if (it == node.queries.end()) {
    return;
  }
  const auto s = Choose(node, attempt);
  if (!s) {
    ApplyEffects(
        n, query,
        OnAttemptFailed(it->second.state, attempt.id, AttemptFailure::kNotSent,
                        node.ids, node.budget, now_));
    return;
  }
  OnAttemptRouted(it->second.state, attempt.id, {std::to_string(*s)}, now_);
  RecordAttemptStart(node.views[*s], now_);
  ++attempts;
  node.attempts[attempt.id] = {query, *s, it->second.rank, now_,
                               attempt.deadline};
  node.pools[*s].waiting.push_back(attempt.id);
  Dispatch(n, *s);
}

void Simulation::Cancel(size_t n, const AttemptToCancel& cancel) {
  Node& node = nodes[n];
  auto it = node.attempts.find(cancel.id);
  if (it == node.attempts.end()) {
    return;
  }
  const size_t s = it->second.server;
  const Duration elapsed = now_ - it->second.sent;
  RecordAttemptEnd(node.views[s], AttemptEnd::kCancelled, elapsed,
                   node.estimates.mean_subquery, now_);
  std::erase(node.pools[s].waiting, cancel.id);
  for (auto& [id, connection] : node.pools[s].connections) {
    connection.abandoned =
        connection.abandoned || connection.attempt == cancel.id;
  }
  // The server works in vain until the cancellation arrives.
  After(Delay(n, s),
        [this, n, id = cancel.id] { nodes[n].attempts.erase(id); });
  it->second.query = 0;
}

uint32_t Simulation::ConnectionShare() const {
  return std::max<uint32_t>(
      1, config_.connection_limit / static_cast<uint32_t>(config_.nodes + 1));
}

void Simulation::Dispatch(size_t n, size_t s) {
  Pool& pool = nodes[n].pools[s];
  auto in_flight = static_cast<uint32_t>(
      std::count_if(pool.connections.begin(), pool.connections.end(),
                    [](const auto& it) { return it.second.attempt != 0; }));
  const uint32_t window =
      config_.baseline ? ConnectionShare() : SendWindow(nodes[n].views[s]);
  for (auto& [id, connection] : pool.connections) {
    if (pool.waiting.empty() || in_flight >= window) {
      break;
    }
    if (connection.ready && connection.attempt == 0) {
      connection.attempt = pool.waiting.front();
      connection.abandoned = false;
      pool.waiting.pop_front();
      ++in_flight;
      Transmit(n, s, connection);
    }
  }
  const uint32_t busy = in_flight;
  const auto all = static_cast<uint32_t>(pool.connections.size());
  const uint32_t ahead =
      config_.baseline ? 0
                       : ConnectionsToOpen(busy, all - busy, ConnectionShare());
  const auto needed = static_cast<uint32_t>(pool.waiting.size());
  const uint32_t connecting = all - busy;
  for (uint32_t i = connecting; i < std::max(needed, connecting + ahead) &&
                                pool.connections.size() < ConnectionShare();
       ++i) {
    Open(n, s);
  }
}

void Simulation::Open(size_t n, size_t s) {
  const uint64_t id = next_++;
  nodes[n].pools[s].connections[id].id = id;
  Server& server = servers[s];
  ++server.connects;
  ++server.open_connections;
  server.most_connections =
      std::max(server.most_connections, server.open_connections);
  After(config_.connect_time, [this, n, s, id] {
    Pool& pool = nodes[n].pools[s];
    auto it = pool.connections.find(id);
    if (it == pool.connections.end()) {
      return;
    }
    if (IsPartitioned(n, s)) {
      it->second.unresponsive = true;
    }
    if (servers[s].down) {
      Close(n, s, id);
      if (!pool.waiting.empty()) {
        const AttemptId attempt = pool.waiting.front();
        pool.waiting.pop_front();
        End(n, attempt, AttemptEnd::kRefused);
      }
      return;
    }
    it->second.ready = true;
    Dispatch(n, s);
  });
}

void Simulation::Close(size_t n, size_t s, uint64_t connection) {
  if (nodes[n].pools[s].connections.erase(connection) > 0) {
    --servers[s].open_connections;
  }
}

void Simulation::Transmit(size_t n, size_t s, Connection& connection) {
  const uint64_t id = connection.id;
  const AttemptId attempt = connection.attempt;
  if (servers[s].draining) {
    ++late_sends_to_draining;
  }
  if (!config_.baseline) {
    const auto rank = RankIndex(nodes[n].attempts[attempt].rank);
    After(PoliciesOf(nodes[n]).silence[rank],
          [this, n, s, id, attempt] { CheckSilence(n, s, id, attempt); });
  }
  if (connection.unresponsive || IsPartitioned(n, s)) {
    return;
  }
  After(Delay(n, s), [this, n, s, id, attempt] { Receive(n, s, id, attempt); });
}

void Simulation::CheckSilence(size_t n,
                              size_t s,
                              uint64_t connection,
                              AttemptId attempt) {
  Pool& pool = nodes[n].pools[s];
  auto it = pool.connections.find(connection);
  if (it == pool.connections.end() || it->second.attempt != attempt) {
    return;
  }
  const bool replace = OnConnectionSilent(
      pool.health, {}, it->second.answered_before, ConnectionShare(), now_);
  if (!replace) {
    const Duration again = ConnectionPolicy().replacement_period;
    After(again, [this, n, s, connection, attempt] {
      CheckSilence(n, s, connection, attempt);
    });
    return;
  }
  const bool wanted = IsAwaited(n, attempt);
  Close(n, s, connection);
  // Idle connections of the same age are probably broken too; close them.
  std::vector<uint64_t> idle;
  for (const auto& [id, other] : pool.connections) {
    if (other.ready && other.attempt == 0) {
      idle.push_back(id);
    }
  }
  for (uint64_t id : idle) {
    Close(n, s, id);
  }
  if (wanted) {
    End(n, attempt, AttemptEnd::kConnectionSilent);
  }
  Dispatch(n, s);
}

void Simulation::Receive(size_t n,
                         size_t s,
                         uint64_t connection,
                         AttemptId attempt) {
  Server& server = servers[s];
  ++server.received;
  if (server.down || server.shedding || server.fails_fast) {
    After(kFastFailure, [this, n, s, connection, attempt] {
      Reply(n, s, connection, attempt,
            servers[s].fails_fast ? AttemptEnd::kFailed : AttemptEnd::kRefused);
    });
    return;
  }
  server.queue.push_back([this, n, s, connection, attempt] {
    Execute(n, s, connection, attempt);
  });
  server.longest_queue = std::max(server.longest_queue, server.queue.size());
  NextJob(s);
}

void Simulation::NextJob(size_t s) {
  Server& server = servers[s];
  if (now_ < server.stalled_until) {
    events_.emplace(Event{server.stalled_until, next_++},
                    [this, s] { NextJob(s); });
    return;
  }
  while (server.running < server.slots && !server.queue.empty()) {
    auto job = std::move(server.queue.front());
    server.queue.pop_front();
    job();
  }
}

void Simulation::Execute(size_t n,
                         size_t s,
                         uint64_t connection,
                         AttemptId attempt) {
  auto it = nodes[n].attempts.find(attempt);
  const bool cancelled = it == nodes[n].attempts.end();
  if (cancelled || it->second.deadline <= now_) {
    Reply(n, s, connection, attempt, AttemptEnd::kRefused);
    return;
  }
  Server& server = servers[s];
  const double mean =
      std::chrono::duration<double>(config_.mean_service).count();
  std::lognormal_distribution<double> draw(
      std::log(mean) - config_.sigma * config_.sigma / 2, config_.sigma);
  double factor = server.slowdown;
  if (server.cold_replies > 0) {
    --server.cold_replies;
    factor *= server.cold_slowdown;
  }
  const Duration time = Seconds(draw(random_) * factor);
  const SteadyTime begun = now_;
  ++server.running;
  // The server checks for cancellation periodically while it runs a subquery.
  auto step = std::make_shared<std::function<void()>>();
  *step = [this, n, s, connection, attempt, begun, time, step] {
    Server& it_server = servers[s];
    const bool done = now_ >= begun + time;
    const bool unwanted = !nodes[n].attempts.contains(attempt);
    if (!done && !unwanted) {
      constexpr Duration kStep = std::chrono::milliseconds(4);
      After(std::min<Duration>(kStep, begun + time - now_), *step);
      return;
    }
    auto stalled = it_server.stalled_until;
    if (now_ < stalled && !unwanted) {
      After(stalled - now_, *step);
      return;
    }
    --it_server.running;
    it_server.busy += now_ - begun;
    if (!IsAwaited(n, attempt)) {
      it_server.wasted += now_ - begun;
    }
    Reply(n, s, connection, attempt, AttemptEnd::kAnswered);
    NextJob(s);
    After(Duration::zero(), [step] { *step = nullptr; });
  };
  (*step)();
}

void Simulation::Reply(size_t n,
                       size_t s,
                       uint64_t connection,
                       AttemptId attempt,
                       AttemptEnd end) {
  After(Delay(n, s), [this, n, s, connection, attempt, end] {
    Pool& pool = nodes[n].pools[s];
    auto it = pool.connections.find(connection);
    if (it == pool.connections.end() || it->second.unresponsive ||
        IsPartitioned(n, s)) {
      return;
    }
    it->second.attempt = 0;
    it->second.answered_before = true;
    OnConnectionAnswered(pool.health);
    if (IsAwaited(n, attempt)) {
      End(n, attempt, end);
    }
    Dispatch(n, s);
  });
}

bool Simulation::IsAwaited(size_t n, AttemptId attempt) const {
  auto it = nodes[n].attempts.find(attempt);
  return it != nodes[n].attempts.end() && it->second.query != 0;
}

void Simulation::End(size_t n, AttemptId attempt, AttemptEnd end) {
  Node& node = nodes[n];
  auto found = node.attempts.find(attempt);
  if (found == node.attempts.end() || found->second.query == 0) {
    return;
  }
  const RunningAttempt ended = found->second;
  node.attempts.erase(found);
  const Duration elapsed = now_ - ended.sent;
  RecordAttemptEnd(node.views[ended.server], end, elapsed,
                   node.estimates.mean_subquery, now_);
  auto query = node.queries.find(ended.query);
  if (query == node.queries.end()) {
    return;
  }
  QueryState& state = query->second.state;
  QueryEffects effects;
  if (end == AttemptEnd::kAnswered) {
    RecordSubqueryTime(node.estimates, ended.rank, elapsed, now_);
    const ShardId shard{std::to_string(servers[ended.server].shard)};
    effects = OnReply(state, {attempt, shard, kSnapshot, {}, true, true},
                      node.ids, node.budget, now_);
  } else {
    AttemptFailure failure = AttemptFailure::kServerError;
    if (end == AttemptEnd::kRefused) {
      failure = AttemptFailure::kRefused;
    } else if (end == AttemptEnd::kConnectionSilent) {
      failure = AttemptFailure::kConnectionSilent;
    }
    effects =
        OnAttemptFailed(state, attempt, failure, node.ids, node.budget, now_);
  }
  ApplyEffects(n, ended.query, std::move(effects));
}

bool Simulation::IsPartitioned(size_t n, size_t s) const {
  const size_t a = nodes[n].domain;
  const size_t b = servers[s].domain;
  return a != b &&
         (partitioned_domains_.contains(a) || partitioned_domains_.contains(b));
}

Duration Simulation::Delay(size_t n, size_t s) const {
  return nodes[n].domain == servers[s].domain ? kLocalDelay
                                              : config_.domain_delay;
}

void Simulation::MakeConnectionsUnresponsive() {
  for (Node& node : nodes) {
    for (Pool& pool : node.pools) {
      for (auto& [id, connection] : pool.connections) {
        connection.unresponsive = true;
      }
    }
  }
}

void Simulation::Partition(size_t domain, bool cut) {
  if (cut) {
    partitioned_domains_.insert(domain);
  } else {
    partitioned_domains_.erase(domain);
  }
}

void Simulation::Restart(Server& server,
                         uint32_t cold_replies,
                         double cold_slowdown) {
  server.cold_replies = cold_replies;
  server.cold_slowdown = cold_slowdown;
  for (Node& node : nodes) {
    RecordRestart(node.views[static_cast<size_t>(&server - servers.data())]);
  }
}

}  // namespace gooseberryrock::query::sim
