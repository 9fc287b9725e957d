// Sets the gauges of a node.

#ifndef GOOSEBERRYROCK_NODE_NODE_GAUGES_H_
#define GOOSEBERRYROCK_NODE_NODE_GAUGES_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::node {

class CatalogStore;
class ClusterView;
class DirectoryReplica;

void SetCatalogGauges(telemetry::Metrics& metrics,
                      const CatalogStore& catalog,
                      SteadyTime now);

void SetClusterGauges(telemetry::Metrics& metrics,
                      const ClusterView& cluster,
                      const DirectoryReplica& directory,
                      SteadyTime now);

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_NODE_GAUGES_H_
