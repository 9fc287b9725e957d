// The connections of one I/O shard to the backend servers: opens them within
// the shard's share, keeps some ready, and lets attempts wait for one.
//
// Used under the shard's lock, on its thread.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_SERVER_LINKS_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_SERVER_LINKS_H_

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
class ServerConnection;
}  // namespace gooseberryrock::transport

namespace gooseberryrock::entry {

using ConnectionPtr = std::shared_ptr<transport::ServerConnection>;
// Identifies an attempt within its shard.
using AttemptKey = uint64_t;

struct LinkEvents {
  // Runs a handler of a connection under the shard's lock.
  std::function<void(const std::function<void()>&)> locked;
  // The attempt that waited gets a connection.
  std::function<void(AttemptKey, ConnectionPtr)> on_connection;
  // No connection could be opened for the attempt that waited.
  std::function<void(AttemptKey)> on_no_connection;
  // A connection to the server could not be opened.
  std::function<void(relay::ServicePool&, const BackendServerId&)>
      on_connect_failed;
};

class ServerLinks {
 public:
  ServerLinks(boost::asio::io_context& context, LinkEvents events);
  ~ServerLinks();

  // A connection for the attempt now, or null: LinkEvents tell later.
  ConnectionPtr Acquire(relay::ServicePool& pool,
                        relay::PoolServer& server,
                        Rank rank,
                        AttemptKey key);

  // The attempt does not wait any more.
  void CancelWait(relay::ServicePool& pool,
                  const BackendServerId& server,
                  AttemptKey key);

  // Gives a connection back after a reply.
  void Release(relay::ServicePool& pool,
               const BackendServerId& server,
               const ConnectionPtr& connection,
               bool reusable);

  // Keeps `ready` connections open to a usable server, closes those above its
  // share, and all idle ones of a server that takes no work.
  void Maintain(relay::ServicePool& pool,
                relay::PoolServer& server,
                uint32_t ready);

 private:
  struct Link;

  Link& LinkOf(const relay::PoolServer& server);
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
  void FailWaiting(Link& link, relay::PoolServer* server);

  boost::asio::io_context& context_;
  const LinkEvents events_;
  std::map<BackendServerId, std::unique_ptr<Link>> links_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_SERVER_LINKS_H_
