// Counters of the frames exchanged with other nodes.

#include "gooseberryrock/monitoring/peer_counters.h"

#include <array>
#include <utility>

#include "gooseberryrock/peer/frame_error.h"
#include "gooseberryrock/peer/peer_stats.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::monitoring {

void CountPeerFrames(telemetry::Metrics& metrics,
                     const peer::PeerStats& before,
                     const peer::PeerStats& now) {
  using peer::FrameFault;
  using telemetry::Counter;
  constexpr std::array kFaultCounters = {
      std::pair{FrameFault::kWrongMac, Counter::kPeerFramesWrongMac},
      std::pair{FrameFault::kOtherCluster, Counter::kPeerFramesOtherCluster},
      std::pair{FrameFault::kOldVersion, Counter::kPeerFramesOldVersion},
      std::pair{FrameFault::kOversized, Counter::kPeerFramesOversized},
      std::pair{FrameFault::kTruncated, Counter::kPeerFramesTruncated}};
  Increment(metrics, Counter::kPeerFramesSent,
            now.sent_frames - before.sent_frames);
  Increment(metrics, Counter::kPeerFramesReceived,
            now.received_frames - before.received_frames);
  for (const auto& [fault, counter] : kFaultCounters) {
    const auto i = static_cast<size_t>(fault);
    Increment(metrics, counter, now.refused.at(i) - before.refused.at(i));
  }
}

}  // namespace gooseberryrock::monitoring
