// Sets the gauges of a node.

#include "gooseberryrock/node/node_gauges.h"

#include <algorithm>
#include <chrono>

#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/node/catalog_store.h"
#include "gooseberryrock/node/cluster_view.h"
#include "gooseberryrock/node/directory_replica.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::node {

namespace {

using telemetry::Gauge;
using telemetry::SetGauge;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void SetCatalogGauges(telemetry::Metrics& metrics,
                      const CatalogStore& catalog,
                      SteadyTime now) {
  SetGauge(metrics, Gauge::kCatalogVersion,
           static_cast<double>(catalog.Version()));
  if (const auto confirmed_at = catalog.ConfirmedAt()) {
    SetGauge(metrics, Gauge::kCatalogAgeSeconds, Seconds(now - *confirmed_at));
  }
}

void SetClusterGauges(telemetry::Metrics& metrics,
                      const ClusterView& cluster,
                      const DirectoryReplica& directory,
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

}  // namespace gooseberryrock::node
