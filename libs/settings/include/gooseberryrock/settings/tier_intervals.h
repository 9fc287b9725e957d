// Intervals of entry nodes and control VMs that follow from the bounds which
// the deployment sets.

#ifndef GOOSEBERRYROCK_SETTINGS_TIER_INTERVALS_H_
#define GOOSEBERRYROCK_SETTINGS_TIER_INTERVALS_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::settings {

struct TierSettings;

struct TierIntervals {
  // Interval at which an entry node polls a control VM for changes. A change
  // passes another control VM first and needs a round trip.
  Duration poll_interval;
  // An entry node does not rely on a control VM that has not replied for this
  // long; covers two lost polls.
  Duration poll_reply_timeout;
  // Time after which an entry node follows new routes while others gather for
  // it. They have them within two polls.
  Duration route_adoption_delay;
  // After a start, a control VM names the servers from its stored list for the
  // first of these times, and an entry node uses each for the second one. A
  // server that has left meanwhile may be among them, so that the sum stays
  // below the contact time.
  Duration remembered_servers_time;
  Duration remembered_server_lifetime;
  // How long an entry node serves callers with keys after its routes were known
  // to be the newest ones, and how often a control VM asks the leader. Zero if
  // there is no bound on the use of a key that was taken away.
  Duration route_confirmation_lifetime;
  Duration route_confirmation_interval;
  // A connection between nodes that is silent for the timeout is opened again.
  Duration peer_heartbeat_interval;
  Duration peer_heartbeat_timeout;
  // Time for a control VM that stops to finish calls and hand over its vote.
  Duration control_drain_time;
};

TierIntervals MakeTierIntervals(const TierSettings& settings);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_TIER_INTERVALS_H_
