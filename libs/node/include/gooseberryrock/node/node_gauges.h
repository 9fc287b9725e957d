// The gauges of a node.

#ifndef GOOSEBERRYROCK_NODE_NODE_GAUGES_H_
#define GOOSEBERRYROCK_NODE_NODE_GAUGES_H_

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::peer {
struct PeerStats;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::control {
struct LogStatus;
}  // namespace gooseberryrock::control

namespace gooseberryrock::node {

class CatalogKeeper;
class ClusterView;
class DirectoryKeeper;

void SetCatalogGauges(telemetry::Metrics& metrics,
                      const CatalogKeeper& catalog,
                      SteadyTime now);

void SetClusterGauges(telemetry::Metrics& metrics,
                      const ClusterView& cluster,
                      const DirectoryKeeper& directory,
                      SteadyTime now);

void SetLogGauges(telemetry::Metrics& metrics,
                  const control::LogStatus& status,
                  const NodeId& self);

// Adds what the counters of the peer socket rose since `before`.
void CountPeerFrames(telemetry::Metrics& metrics,
                     const peer::PeerStats& before,
                     const peer::PeerStats& now);

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_NODE_GAUGES_H_
