// Keeps an entry node up to date: asks a control VM, one of its own failure
// domain where possible, for what changed.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONTROL_LINK_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONTROL_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "gooseberryrock/entry/dialect.h"
#include "gooseberryrock/entry/entry_settings.h"
#include "gooseberryrock/entry/server_change.h"
#include "gooseberryrock/peer/peer_stats.h"
#include "gooseberryrock/routes/route_table.h"

namespace gooseberryrock::entry {

struct ControlEvents {
  std::function<void(std::shared_ptr<const routes::RouteTable>)> on_routes;
  std::function<void(std::vector<ServerChange>)> on_servers;
  std::function<void(ConnectionPlan)> on_plan;
};

// What the node knows of the rest of the system.
struct ControlLinkStatus {
  // 0 when none are in force.
  uint64_t routes_version = 0;
  // When a control VM answered last.
  std::optional<SteadyTime> answered_at;
  peer::PeerStats frames;
};

class ControlLink {
 public:
  // Events are called on threads of the link. Throws
  // PeerSocketError when the peer port cannot be used.
  ControlLink(const EntrySettings& settings,
              const Dialect& dialect,
              ControlEvents events);
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;
  ~ControlLink();

  // Adds control VMs to ask. From any thread.
  void AddControlVms(const std::vector<NodeId>& nodes);

  // Whether routes are in force and the servers are known.
  bool IsReady() const;

  ControlLinkStatus Status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONTROL_LINK_H_
