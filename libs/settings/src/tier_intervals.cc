// Intervals that follow from the bounds of the deployment.

#include "gooseberryrock/settings/tier_intervals.h"

#include <algorithm>

#include "gooseberryrock/settings/tier_settings.h"

namespace gooseberryrock::settings {

namespace {

// Upper bounds, for deployments that allow more time than is needed.
constexpr Duration kMaxPollInterval = std::chrono::milliseconds(250);
// One announcement of a server.
constexpr Duration kMaxRememberedServersTime = std::chrono::milliseconds(1200);
// Two announcements, which servers send every 1.2 s.
constexpr Duration kMaxRememberedServerLifetime =
    std::chrono::milliseconds(2500);
constexpr Duration kMaxHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxControlDrainTime = std::chrono::seconds(2);

constexpr int kPollsInChangeTime = 12;
constexpr int kPollsUntilReplyTimeout = 3;
constexpr int kHalfPollsUntilAdoption = 5;
// Parts of the contact time, in 40ths.
constexpr int kContactTimeParts = 40;
constexpr int kRememberedServersParts = 12;
constexpr int kRememberedServerLifetimeParts = 25;
// Parts of the key revocation time, in tenths: the last one covers the drift of
// the clocks of VMs and the time from the arrival of a request to its check.
constexpr int kKeyRevocationParts = 10;
constexpr int kConfirmationLifetimeParts = 9;
constexpr int kConfirmationsInKeyRevocationTime = 20;
constexpr int kHeartbeatsInContactTime = 8;
constexpr int kHeartbeatsUntilTimeout = 3;
constexpr int kControlDrainsInStopTime = 3;

}  // namespace

TierIntervals MakeTierIntervals(const TierSettings& settings) {
  TierIntervals intervals;
  intervals.poll_interval = std::min(
      {kMaxPollInterval, settings.route_change_time / kPollsInChangeTime,
       settings.server_drain_time / kPollsInChangeTime});
  intervals.poll_reply_timeout =
      intervals.poll_interval * kPollsUntilReplyTimeout;
  intervals.route_adoption_delay =
      intervals.poll_interval * kHalfPollsUntilAdoption / 2;
  const Duration part = settings.contact_time / kContactTimeParts;
  intervals.remembered_servers_time =
      std::min(kMaxRememberedServersTime, part * kRememberedServersParts);
  intervals.remembered_server_lifetime = std::min(
      kMaxRememberedServerLifetime, part * kRememberedServerLifetimeParts);
  intervals.route_confirmation_lifetime = settings.key_revocation_time /
                                          kKeyRevocationParts *
                                          kConfirmationLifetimeParts;
  intervals.route_confirmation_interval =
      std::min(kMaxPollInterval, settings.key_revocation_time /
                                     kConfirmationsInKeyRevocationTime);
  intervals.peer_heartbeat_interval = std::min(
      kMaxHeartbeatInterval, settings.contact_time / kHeartbeatsInContactTime);
  intervals.peer_heartbeat_timeout =
      intervals.peer_heartbeat_interval * kHeartbeatsUntilTimeout;
  intervals.control_drain_time = std::min(
      kMaxControlDrainTime, settings.stop_time / kControlDrainsInStopTime);
  return intervals;
}

}  // namespace gooseberryrock::settings
