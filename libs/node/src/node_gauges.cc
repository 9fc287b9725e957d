// The gauges of a node.

#include "gooseberryrock/node/node_gauges.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "gooseberryrock/control/log_status.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/node/catalog_keeper.h"
#include "gooseberryrock/node/cluster_view.h"
#include "gooseberryrock/node/directory_keeper.h"
#include "gooseberryrock/peer/peer_stats.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::node {

namespace {

using telemetry::Counter;
using telemetry::Gauge;
using telemetry::SetGauge;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void SetCatalogGauges(telemetry::Metrics& metrics,
                      const CatalogKeeper& catalog,
                      SteadyTime now) {
  SetGauge(metrics, Gauge::kCatalogVersion,
           static_cast<double>(catalog.Version()));
  if (const auto confirmed_at = catalog.ConfirmedAt()) {
    SetGauge(metrics, Gauge::kCatalogAgeSeconds, Seconds(now - *confirmed_at));
  }
}

void SetClusterGauges(telemetry::Metrics& metrics,
                      const ClusterView& cluster,
                      const DirectoryKeeper& directory,
                      SteadyTime now) {
  const auto peers = cluster.Peers();
  const auto reachable = std::count_if(
      peers.begin(), peers.end(),
      [&](const auto& peer) { return IsReachable(peer.second, now); });
  SetGauge(metrics, Gauge::kPeersReachable, static_cast<double>(reachable));
  double ready = 0;
  double draining = 0;
  for (const auto& record : directory.Records()) {
    ready += record.state == directory::ServerState::kReady ? 1 : 0;
    draining += record.state == directory::ServerState::kDraining ? 1 : 0;
  }
  SetGauge(metrics, Gauge::kServersReady, ready);
  SetGauge(metrics, Gauge::kServersDraining, draining);
}

void SetLogGauges(telemetry::Metrics& metrics,
                  const control::LogStatus& status,
                  const NodeId& self) {
  SetGauge(metrics, Gauge::kIsLeader, status.leader == self ? 1 : 0);
  SetGauge(metrics, Gauge::kHasLeader, status.leader.empty() ? 0 : 1);
  SetGauge(metrics, Gauge::kTerm, static_cast<double>(status.term));
  SetGauge(metrics, Gauge::kCommitIndex,
           static_cast<double>(status.commit_index));
  const bool refused = status.storage_failed || status.suspended;
  SetGauge(metrics, Gauge::kStorageRefused, refused ? 1 : 0);
}

void CountPeerFrames(telemetry::Metrics& metrics,
                     const peer::PeerStats& before,
                     const peer::PeerStats& now) {
  using peer::FrameFault;
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

}  // namespace gooseberryrock::node
