// The connections of an I/O shard to the backend servers: opens connections
// within the shard's share, keeps some open in advance, and queues attempts
// that wait for one.
//
// Used on the shard's thread, under its lock.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONNECTION_POOL_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONNECTION_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/service_pool.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gooseberryrock::transport {
class ReplyMemory;
class ServerConnection;
}  // namespace gooseberryrock::transport

namespace gooseberryrock::entry {

using ConnectionPtr = std::shared_ptr<transport::ServerConnection>;
// Identifies an attempt within its shard.
using AttemptKey = uint64_t;

struct ConnectionPoolEvents {
  // Runs a connection handler under the shard's lock.
  std::function<void(const std::function<void()>&)> locked;
  // A connection is available for a waiting attempt.
  std::function<void(AttemptKey, ConnectionPtr)> on_connection;
  // No connection could be opened for a waiting attempt.
  std::function<void(AttemptKey)> on_no_connection;
  // Opening a connection to the server failed.
  std::function<void(relay::ServicePool&, const BackendServerId&)>
      on_connect_failed;
};

class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& context,
                 transport::ReplyMemory& memory,
                 ConnectionPoolEvents events);
  ~ConnectionPool();

  // Returns a connection for the attempt, or null if the attempt has to wait
  // for an event.
  ConnectionPtr Acquire(relay::ServicePool& pool,
                        relay::PoolServer& server,
                        Rank rank,
                        AttemptKey key);

  // Removes the attempt from the queue.
  void CancelWait(relay::ServicePool& pool,
                  const BackendServerId& server,
                  AttemptKey key);

  // Fails all attempts that wait for a connection to the server.
  void CancelAllWaits(relay::PoolServer& server);

  // Returns a connection to the pool after a reply.
  void Release(relay::ServicePool& pool,
               const BackendServerId& server,
               const ConnectionPtr& connection,
               bool reusable);

  // Opens a connection to find out whether the server's process runs, unless
  // the server's share is in use.
  void Probe(relay::ServicePool& pool, const BackendServerId& server);

  // Keeps `prewarmed` connections open to a usable server, closes those above
  // its share, and closes all idle connections of an unusable server.
  void Maintain(relay::ServicePool& pool,
                relay::PoolServer& server,
                uint32_t prewarmed);

 private:
  struct ServerConnections;

  ServerConnections& ConnectionsOf(const relay::PoolServer& server);
  void Open(relay::ServicePool& pool, relay::PoolServer& server);
  void OnOpened(relay::ServicePool& pool,
                const BackendServerId& id,
                const ConnectionPtr& connection,
                bool connected);
  void Offer(relay::ServicePool& pool,
             relay::PoolServer& server,
             const ConnectionPtr& connection);
  void OnIdleEnded(relay::ServicePool& pool,
                   const BackendServerId& id,
                   const ConnectionPtr& connection);
  void FailWaiting(ServerConnections& server_connections,
                   relay::PoolServer* server);

  boost::asio::io_context& context_;
  transport::ReplyMemory& memory_;
  const ConnectionPoolEvents events_;
  std::map<BackendServerId, std::unique_ptr<ServerConnections>> connections_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONNECTION_POOL_H_
