// Polls a control VM for changes, preferably one in the failure domain of the
// node.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONTROL_POLLER_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONTROL_POLLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "gooseberryrock/entry/entry_codec.h"
#include "gooseberryrock/entry/entry_settings.h"
#include "gooseberryrock/entry/server_change.h"
#include "gooseberryrock/peer/peer_stats.h"
#include "gooseberryrock/routes/evacuation.h"
#include "gooseberryrock/routes/route_confirmation.h"
#include "gooseberryrock/routes/route_table.h"

namespace gooseberryrock::allotments {
class SharedNodeAllotments;
}  // namespace gooseberryrock::allotments

namespace gooseberryrock::claims {
class SharedCrashHistory;
}  // namespace gooseberryrock::claims

namespace gooseberryrock::entry {

struct ControlEvents {
  std::function<void(std::shared_ptr<const routes::RouteTable>)> on_routes;
  std::function<void(std::vector<ServerChange>)> on_servers;
  std::function<void(ConnectionPlan)> on_plan;
  std::function<void(routes::RouteConfirmation)> on_confirmation;
  // `is_unconfirmed` while control VMs have orders that may not be the newest
  // ones, and none has reported that it knows these.
  std::function<void(const routes::EvacuatedDomains&, bool is_unconfirmed)>
      on_evacuation;
  // Called when the node has been cut off from all control VMs for a while, and
  // when it is in contact again.
  std::function<void(bool)> on_contact;
};

// The node's view of the control plane.
struct ControlPollerStatus {
  // 0 if no routes are in force.
  uint64_t routes_version = 0;
  // Time of the last reply of a control VM.
  std::optional<SteadyTime> replied_at;
  peer::PeerStats frames;
};

class ControlPoller {
 public:
  // Events are called on threads of the poller. Throws PeerSocketError if the
  // peer port cannot be used. Exchanges `crash_history` and `allotments` with
  // the control VMs.
  ControlPoller(const EntrySettings& settings,
                const EntryCodec& codec,
                claims::SharedCrashHistory& crash_history,
                allotments::SharedNodeAllotments& allotments,
                ControlEvents events);
  ControlPoller(const ControlPoller&) = delete;
  ControlPoller& operator=(const ControlPoller&) = delete;
  ~ControlPoller();

  // Adds control VMs to poll. Thread-safe.
  void AddControlVms(const std::vector<NodeId>& nodes);

  // Whether routes are in force and a server directory was received.
  bool IsReady() const;

  ControlPollerStatus Status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_CONTROL_POLLER_H_
