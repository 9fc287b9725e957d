// The connections of an I/O shard to the backend servers.

#include "connection_pool.h"

#include <algorithm>

#include "gooseberryrock/relay/pool_server.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/server_connection.h"

namespace gooseberryrock::entry {

namespace {

// A connection that takes longer has lost a packet or has no peer, and another
// server answers sooner. Servers need 6 ms, and the round trip 3 ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

}  // namespace

struct ConnectionPool::ServerConnections {
  transport::Endpoint endpoint;
  // Most recently used at the back.
  std::vector<ConnectionPtr> idle;
  // Waiting attempts, most urgent first.
  std::multimap<Rank, AttemptKey> waiting;
  // Attempts that FailWaiting() has taken out of `waiting` and not reported
  // yet. They can still be cancelled.
  std::multimap<Rank, AttemptKey> failing;
  uint32_t opening = 0;
};

ConnectionPool::ConnectionPool(boost::asio::io_context& context,
                               transport::ReplyMemory& memory,
                               ConnectionPoolEvents events)
    : context_(context), memory_(memory), events_(std::move(events)) {}

ConnectionPool::~ConnectionPool() = default;

ConnectionPool::ServerConnections& ConnectionPool::ConnectionsOf(
    const relay::PoolServer& server) {
  auto& server_connections = connections_[server.id];
  if (!server_connections) {
    server_connections = std::make_unique<ServerConnections>();
  }
  server_connections->endpoint = {server.host, server.port};
  return *server_connections;
}

ConnectionPtr ConnectionPool::Acquire(relay::ServicePool& pool,
                                      relay::PoolServer& server,
                                      Rank rank,
                                      AttemptKey key) {
  ServerConnections& server_connections = ConnectionsOf(server);
  if (!server_connections.idle.empty()) {
    ConnectionPtr connection = std::move(server_connections.idle.back());
    server_connections.idle.pop_back();
    --server.idle_connections;
    return connection;
  }
  server_connections.waiting.emplace(rank, key);
  ++server.queued;
  if (server.connections < server.connection_share &&
      server_connections.opening < server_connections.waiting.size()) {
    Open(pool, server);
  }
  return nullptr;
}

void ConnectionPool::CancelWait(relay::ServicePool& pool,
                                const BackendServerId& server,
                                AttemptKey key) {
  auto server_connections = connections_.find(server);
  if (server_connections == connections_.end()) {
    return;
  }
  const auto erase_from = [key](std::multimap<Rank, AttemptKey>& attempts) {
    return std::erase_if(attempts,
                         [key](const auto& n) { return n.second == key; }) > 0;
  };
  relay::PoolServer* found = relay::FindServer(pool, server);
  if (erase_from(server_connections->second->waiting) && found != nullptr) {
    --found->queued;
  }
  erase_from(server_connections->second->failing);
}

void ConnectionPool::Open(relay::ServicePool& pool, relay::PoolServer& server) {
  ServerConnections& server_connections = ConnectionsOf(server);
  ++server_connections.opening;
  ++server.connections;
  auto connection = std::make_shared<transport::ServerConnection>(
      context_, memory_, server.id.value);
  connection->Connect(
      server_connections.endpoint, kConnectTimeout,
      [this, &pool, id = server.id, connection](bool connected) {
        events_.locked([&] { OnOpened(pool, id, connection, connected); });
      });
}

void ConnectionPool::OnOpened(relay::ServicePool& pool,
                              const BackendServerId& id,
                              const ConnectionPtr& connection,
                              bool connected) {
  ServerConnections& server_connections = *connections_.at(id);
  --server_connections.opening;
  relay::PoolServer* server = relay::FindServer(pool, id);
  if (!connected || server == nullptr) {
    connection->Close();
    if (server != nullptr) {
      --server->connections;
      events_.on_connect_failed(pool, id);
    }
    if (server == nullptr || server->connections == 0) {
      FailWaiting(server_connections, server);
    }
    return;
  }
  Offer(pool, *server, connection);
}

void ConnectionPool::Probe(relay::ServicePool& pool,
                           const BackendServerId& server) {
  relay::PoolServer* found = relay::FindServer(pool, server);
  if (found != nullptr && ConnectionsOf(*found).opening == 0 &&
      (found->connections == 0 ||
       found->connections < found->connection_share)) {
    Open(pool, *found);
  }
}

void ConnectionPool::Offer(relay::ServicePool& pool,
                           relay::PoolServer& server,
                           const ConnectionPtr& connection) {
  ServerConnections& server_connections = ConnectionsOf(server);
  if (!server_connections.waiting.empty()) {
    const AttemptKey key = server_connections.waiting.begin()->second;
    server_connections.waiting.erase(server_connections.waiting.begin());
    --server.queued;
    events_.on_connection(key, connection);
    return;
  }
  if (!server.usable || server.connections > server.connection_share) {
    connection->Close();
    --server.connections;
    return;
  }
  server_connections.idle.push_back(connection);
  ++server.idle_connections;
  connection->WatchIdle([this, &pool, id = server.id, connection] {
    events_.locked([&] { OnIdleEnded(pool, id, connection); });
  });
}

void ConnectionPool::OnIdleEnded(relay::ServicePool& pool,
                                 const BackendServerId& id,
                                 const ConnectionPtr& connection) {
  ServerConnections& server_connections = *connections_.at(id);
  auto it = std::find(server_connections.idle.begin(),
                      server_connections.idle.end(), connection);
  if (it == server_connections.idle.end()) {
    return;
  }
  server_connections.idle.erase(it);
  connection->Close();
  if (relay::PoolServer* server = relay::FindServer(pool, id)) {
    --server->idle_connections;
    --server->connections;
  }
}

void ConnectionPool::FailWaiting(ServerConnections& server_connections,
                                 relay::PoolServer* server) {
  auto& failing = server_connections.failing;
  failing.merge(server_connections.waiting);
  if (server != nullptr) {
    server->queued = 0;
  }
  // The failure of one attempt may end its request, which cancels others, or
  // let new ones wait.
  while (!failing.empty()) {
    const AttemptKey key = failing.begin()->second;
    failing.erase(failing.begin());
    events_.on_no_connection(key);
  }
}

void ConnectionPool::CancelAllWaits(relay::PoolServer& server) {
  FailWaiting(ConnectionsOf(server), &server);
}

void ConnectionPool::Release(relay::ServicePool& pool,
                             const BackendServerId& server,
                             const ConnectionPtr& connection,
                             bool reusable) {
  relay::PoolServer* found = relay::FindServer(pool, server);
  if (found == nullptr) {
    connection->Close();
    return;
  }
  if (reusable) {
    Offer(pool, *found, connection);
    return;
  }
  connection->Close();
  --found->connections;
  ServerConnections& server_connections = ConnectionsOf(*found);
  if (server_connections.waiting.size() > server_connections.opening &&
      found->connections < found->connection_share) {
    Open(pool, *found);
  }
}

void ConnectionPool::Maintain(relay::ServicePool& pool,
                              relay::PoolServer& server,
                              uint32_t prewarmed) {
  ServerConnections& server_connections = ConnectionsOf(server);
  const auto close_one = [&] {
    server_connections.idle.front()->Close();
    server_connections.idle.erase(server_connections.idle.begin());
    --server.idle_connections;
    --server.connections;
  };
  while (!server_connections.idle.empty() &&
         (!server.usable || server.connections > server.connection_share)) {
    close_one();
  }
  if (!server.usable) {
    FailWaiting(server_connections, &server);
    return;
  }
  const uint32_t wanted = std::min(prewarmed, server.connection_share);
  while (server.connections < wanted) {
    Open(pool, server);
  }
}

}  // namespace gooseberryrock::entry
