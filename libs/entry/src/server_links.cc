// The connections of one I/O shard to the backend servers.

#include "server_links.h"

#include <algorithm>

#include "gooseberryrock/relay/pool_server.h"
#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/server_connection.h"

namespace gooseberryrock::entry {

namespace {

// A connection that takes longer has met a lost packet or no one; another
// server answers sooner. Today's servers take 6 ms and 3 ms of round trip.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

}  // namespace

struct ServerLinks::Link {
  transport::Endpoint endpoint;
  // The one used last is at the back.
  std::vector<ConnectionPtr> idle;
  // Attempts that wait, the most urgent first.
  std::multimap<Rank, AttemptKey> waiting;
  uint32_t opening = 0;
};

ServerLinks::ServerLinks(boost::asio::io_context& context, LinkEvents events)
    : context_(context), events_(std::move(events)) {}

ServerLinks::~ServerLinks() = default;

ServerLinks::Link& ServerLinks::LinkOf(const relay::PoolServer& server) {
  auto& link = links_[server.id];
  if (!link) {
    link = std::make_unique<Link>();
  }
  link->endpoint = {server.host, server.port};
  return *link;
}

ConnectionPtr ServerLinks::Acquire(relay::ServicePool& pool,
                                   relay::PoolServer& server,
                                   Rank rank,
                                   AttemptKey key) {
  Link& link = LinkOf(server);
  if (!link.idle.empty()) {
    ConnectionPtr connection = std::move(link.idle.back());
    link.idle.pop_back();
    --server.idle_connections;
    return connection;
  }
  link.waiting.emplace(rank, key);
  ++server.queued;
  if (server.connections < server.connection_share &&
      link.opening < link.waiting.size()) {
    Open(pool, server);
  }
  return nullptr;
}

void ServerLinks::CancelWait(relay::ServicePool& pool,
                             const BackendServerId& server,
                             AttemptKey key) {
  auto link = links_.find(server);
  if (link == links_.end()) {
    return;
  }
  auto& waiting = link->second->waiting;
  auto it = std::find_if(waiting.begin(), waiting.end(),
                         [key](const auto& n) { return n.second == key; });
  if (it == waiting.end()) {
    return;
  }
  waiting.erase(it);
  if (relay::PoolServer* found = relay::FindServer(pool, server)) {
    --found->queued;
  }
}

void ServerLinks::Open(relay::ServicePool& pool, relay::PoolServer& server) {
  Link& link = LinkOf(server);
  ++link.opening;
  ++server.connections;
  auto connection = std::make_shared<transport::ServerConnection>(context_);
  connection->Connect(
      link.endpoint, kConnectTimeout,
      [this, &pool, id = server.id, connection](bool connected) {
        events_.locked([&] { OnOpened(pool, id, connection, connected); });
      });
}

void ServerLinks::OnOpened(relay::ServicePool& pool,
                           const BackendServerId& id,
                           const ConnectionPtr& connection,
                           bool connected) {
  Link& link = *links_.at(id);
  --link.opening;
  relay::PoolServer* server = relay::FindServer(pool, id);
  if (!connected || server == nullptr) {
    connection->Close();
    if (server != nullptr) {
      --server->connections;
      events_.on_connect_failed(pool, id);
    }
    if (server == nullptr || server->connections == 0) {
      FailWaiting(link, server);
    }
    return;
  }
  Offer(pool, *server, connection);
}

void ServerLinks::Offer(relay::ServicePool& pool,
                        relay::PoolServer& server,
                        const ConnectionPtr& connection) {
  Link& link = LinkOf(server);
  if (!link.waiting.empty()) {
    const AttemptKey key = link.waiting.begin()->second;
    link.waiting.erase(link.waiting.begin());
    --server.queued;
    events_.on_connection(key, connection);
    return;
  }
  if (!server.usable || server.connections > server.connection_share) {
    connection->Close();
    --server.connections;
    return;
  }
  link.idle.push_back(connection);
  ++server.idle_connections;
  connection->WatchIdle([this, &pool, id = server.id, connection] {
    events_.locked([&] { OnIdleEnded(pool, id, connection); });
  });
}

void ServerLinks::OnIdleEnded(relay::ServicePool& pool,
                              const BackendServerId& id,
                              const ConnectionPtr& connection) {
  Link& link = *links_.at(id);
  auto it = std::find(link.idle.begin(), link.idle.end(), connection);
  if (it == link.idle.end()) {
    return;
  }
  link.idle.erase(it);
  connection->Close();
  if (relay::PoolServer* server = relay::FindServer(pool, id)) {
    --server->idle_connections;
    --server->connections;
  }
}

void ServerLinks::FailWaiting(Link& link, relay::PoolServer* server) {
  std::multimap<Rank, AttemptKey> waiting;
  waiting.swap(link.waiting);
  if (server != nullptr) {
    server->queued = 0;
  }
  for (const auto& [rank, key] : waiting) {
    events_.on_no_connection(key);
  }
}

void ServerLinks::Release(relay::ServicePool& pool,
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
  Link& link = LinkOf(*found);
  if (link.waiting.size() > link.opening &&
      found->connections < found->connection_share) {
    Open(pool, *found);
  }
}

void ServerLinks::Maintain(relay::ServicePool& pool,
                           relay::PoolServer& server,
                           uint32_t ready) {
  Link& link = LinkOf(server);
  const auto close_one = [&] {
    link.idle.front()->Close();
    link.idle.erase(link.idle.begin());
    --server.idle_connections;
    --server.connections;
  };
  while (!link.idle.empty() &&
         (!server.usable || server.connections > server.connection_share)) {
    close_one();
  }
  if (!server.usable) {
    FailWaiting(link, &server);
    return;
  }
  const uint32_t wanted = std::min(ready, server.connection_share);
  while (server.connections < wanted) {
    Open(pool, server);
  }
}

}  // namespace gooseberryrock::entry
