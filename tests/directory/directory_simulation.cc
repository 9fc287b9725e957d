// Virtual-time simulation of nodes, backend servers and a faulty network.

#include "directory_simulation.h"

#include <algorithm>

#include "gooseberryrock/directory/merge_record.h"

namespace gooseberryrock::directory {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kExpiry = std::chrono::seconds(2);
constexpr uint64_t kDeltaSteps = kDeltaInterval / kStep;
constexpr uint64_t kDigestSteps = kDigestInterval / kStep;
constexpr uint64_t kHeartbeatSteps = 10;
constexpr uint64_t kAnnounceSteps = 10;

}  // namespace

DirectorySimulation::DirectorySimulation(size_t node_count,
                                         size_t server_count,
                                         uint64_t seed)
    : rng(seed), nodes(node_count), servers(server_count) {
  const std::string domains = "xyz";
  for (size_t i = 0; i < node_count; ++i) {
    nodes[i].id.value = "node-" + std::to_string(i);
    nodes[i].domain.value = domains.substr(i % domains.size(), 1);
  }
  std::set<NodeId> ids;
  std::map<NodeId, size_t> indices;
  for (size_t i = 0; i < node_count; ++i) {
    ids.insert(nodes[i].id);
    indices[nodes[i].id] = i;
  }
  for (SimulatedNode& node : nodes) {
    for (const ExchangePeer& peer : ExchangePeers(ids, node.id)) {
      node.peers.emplace_back(indices.at(peer.node), peer);
    }
  }
  for (size_t i = 0; i < server_count; ++i) {
    ServerRecord& record = servers[i].record;
    record.id.value = "server-" + std::to_string(i);
    record.incarnation = 1;
    record.state = ServerState::kReady;
    record.failure_domain.value = domains.substr(i % domains.size(), 1);
    servers[i].node = rng() % node_count;
  }
}

void DirectorySimulation::Run(Duration duration) {
  const SteadyTime end = now_ + duration;
  for (; now_ < end; now_ += kStep, ++step_) {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      auto message = in_flight_.extract(in_flight_.begin());
      Receive(message.mapped());
    }
    for (size_t i = 0; i < servers.size(); ++i) {
      if (servers[i].running && (step_ + i) % kAnnounceSteps == 0) {
        AnnounceTo(servers[i]);
      }
    }
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].running) {
        Tick(i);
        CheckOrder(nodes[i]);
      }
    }
  }
}

void DirectorySimulation::StopNode(size_t node) {
  nodes[node].running = false;
}

void DirectorySimulation::StartNode(size_t node) {
  SimulatedNode& it = nodes[node];
  SimulatedNode fresh;
  fresh.id = it.id;
  fresh.domain = it.domain;
  fresh.incarnation = it.incarnation + 1;
  fresh.peers = it.peers;
  it = std::move(fresh);
}

void DirectorySimulation::StopServer(size_t server) {
  servers[server].running = false;
}

void DirectorySimulation::StartServer(size_t server) {
  SimulatedServer& it = servers[server];
  it.running = true;
  ++it.record.incarnation;
  it.record.sequence = 0;
  it.record.state = ServerState::kReady;
}

void DirectorySimulation::Announce(size_t server, ServerState state) {
  servers[server].record.state = state;
  ++servers[server].record.sequence;
}

bool DirectorySimulation::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(rng) < probability;
}

bool DirectorySimulation::IsCut(const FailureDomain& from,
                                const FailureDomain& to) const {
  return cut_domains.contains({from, to});
}

void DirectorySimulation::Send(size_t from,
                               size_t to,
                               decltype(SimulatedMessage::body) body) {
  ++messages;
  const SimulatedMessage message{from, to, nodes[from].incarnation,
                                 std::move(body)};
  if (on_send) {
    on_send(message);
  }
  for (int copies = Chance(duplication) ? 2 : 1; copies > 0; --copies) {
    if (!Chance(loss) && !cut_nodes.contains({from, to}) &&
        !IsCut(nodes[from].domain, nodes[to].domain)) {
      const auto delay =
          std::uniform_int_distribution<int64_t>(0, max_delay.count())(rng);
      in_flight_.emplace(now_ + Duration(delay), message);
    }
  }
}

void DirectorySimulation::Receive(const SimulatedMessage& message) {
  SimulatedNode& node = nodes[message.to];
  // The peer socket drops frames of earlier incarnations.
  if (!node.running || message.incarnation < nodes[message.from].incarnation) {
    return;
  }
  node.last_message[message.from] = now_;
  OnContact(node.contacts, nodes[message.from].domain, node.domain, now_);
  std::visit([&](const auto& body) { Handle(node, message.from, body); },
             message.body);
}

void DirectorySimulation::Handle(SimulatedNode& node,
                                 size_t from,
                                 const Heartbeat& heartbeat) {
  OnSpan(node, from, heartbeat.change_count, heartbeat.change_count);
}

void DirectorySimulation::Handle(SimulatedNode& node,
                                 size_t from,
                                 const DirectoryDelta& delta) {
  OnSpan(node, from, delta.from, delta.to);
  MergeDelta(node.directory, delta, nodes[from].id, now_);
}

void DirectorySimulation::Handle(SimulatedNode& node,
                                 size_t from,
                                 const DirectoryDigest& digest) {
  const DigestAnswer answer = OnDigest(node.directory, digest);
  if (answer.digest) {
    Send(IndexOf(node), from, *answer.digest);
  }
  if (answer.pull) {
    Send(IndexOf(node), from, *answer.pull);
  }
}

void DirectorySimulation::Handle(SimulatedNode& node,
                                 size_t from,
                                 const DirectoryPull& pull) {
  const PullAnswer answer =
      OnPull(node.directory, node.exchange, nodes[from].id, pull);
  for (const DirectoryDelta& delta : answer.deltas) {
    Send(IndexOf(node), from, delta);
  }
  if (answer.pull) {
    Send(IndexOf(node), from, *answer.pull);
  }
}

void DirectorySimulation::OnSpan(SimulatedNode& node,
                                 size_t from,
                                 uint64_t start,
                                 uint64_t end) {
  const auto pull = OnChangeSpan(node.exchange, nodes[from].id,
                                 nodes[from].incarnation, start, end);
  if (pull) {
    Send(IndexOf(node), from, *pull);
  }
}

void DirectorySimulation::Tick(size_t index) {
  SimulatedNode& node = nodes[index];
  const uint64_t phase = step_ + index;
  if (phase % kDeltaSteps == 0) {
    DecideOwnership(node);
    RemoveGone(node.directory, now_);
    for (const auto& [to, peer] : node.peers) {
      while (auto delta = TakeDelta(node.directory, node.exchange, peer)) {
        Send(index, to, *delta);
      }
    }
  }
  if (phase % kHeartbeatSteps == 0) {
    for (const auto& [to, peer] : node.peers) {
      Send(index, to, Heartbeat{SentCount(node.exchange, peer.node)});
    }
  }
  if (phase % kDigestSteps == 0) {
    for (size_t n : TakeDigestPeers(node.exchange, node.peers.size())) {
      Send(index, node.peers[n].first, MakeRootDigest(node.directory));
    }
  }
}

void DirectorySimulation::DecideOwnership(SimulatedNode& node) {
  NodeDomains live{{node.id, node.domain}};
  NodeDomains lost;
  for (const auto& [peer, heard_at] : node.last_message) {
    const SimulatedNode& it = nodes[peer];
    if (now_ - heard_at < kExpiry) {
      live[it.id] = it.domain;
    } else {
      lost[it.id] = it.domain;
    }
  }
  TakeOverRecords(node.directory, live, lost, node.id, now_);
  for (const ServerRecord& record :
       ExpireServers(node.directory, node.id, node.contacts, kExpiry, now_)) {
    violations += record.owner == node.id ? 0 : 1;
    for (const SimulatedServer& server : servers) {
      if (server.record.id == record.id && server.running &&
          server.record.incarnation == record.incarnation &&
          now_ - server.accepted_at < kExpiry) {
        ++wrong_expiries;
      }
    }
  }
}

bool DirectorySimulation::IsReachable(const SimulatedServer& server) {
  const SimulatedNode& node = nodes[server.node];
  const FailureDomain& domain = server.record.failure_domain;
  return node.running && !IsCut(domain, node.domain) &&
         !IsCut(node.domain, domain) && !Chance(loss);
}

void DirectorySimulation::AnnounceTo(SimulatedServer& server) {
  // A server that cannot reach its node tries the next ones immediately.
  size_t tries = 0;
  while (!IsReachable(server) && tries++ < nodes.size()) {
    server.node = (server.node + 1) % nodes.size();
  }
  if (tries > nodes.size()) {
    return;
  }
  SimulatedNode& node = nodes[server.node];
  if (NeedsNewIncarnation(node.directory, server.record)) {
    ++server.record.incarnation;
    return;
  }
  AcceptAnnouncement(node.directory, server.record, node.id, now_);
  server.accepted_at = now_;
}

void DirectorySimulation::CheckOrder(SimulatedNode& node) {
  for (const ServerRecord& record :
       ChangesSince(node.directory, node.checked_up_to)) {
    auto& highest = node.highest[record.id];
    const std::pair seen(record.incarnation, record.state);
    violations += seen < highest ? 1 : 0;
    highest = std::max(highest, seen);
  }
  node.checked_up_to = node.directory.change_count;
}

std::string DirectorySimulation::Divergence() const {
  const SimulatedNode* first = nullptr;
  for (const SimulatedNode& node : nodes) {
    if (!node.running) {
      continue;
    }
    first = first == nullptr ? &node : first;
    if (node.directory.leaf_hashes != first->directory.leaf_hashes) {
      return node.id.value + " differs from " + first->id.value;
    }
    for (const SimulatedServer& server : servers) {
      auto it = node.directory.entries.find(server.record.id);
      const bool known = it != node.directory.entries.end();
      const ServerState expected =
          server.running ? server.record.state : ServerState::kGone;
      const ServerState state =
          known ? it->second.record.state : ServerState::kGone;
      if (state != expected) {
        return node.id.value + " has " + server.record.id.value + " as " +
               std::string(ServerStateName(state));
      }
    }
  }
  return "";
}

size_t DirectorySimulation::IndexOf(const SimulatedNode& node) const {
  return &node - nodes.data();
}

}  // namespace gooseberryrock::directory
