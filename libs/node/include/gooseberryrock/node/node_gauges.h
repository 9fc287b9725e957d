// The gauges of a node.

#ifndef GOOSEBERRYROCK_NODE_NODE_GAUGES_H_
#define GOOSEBERRYROCK_NODE_NODE_GAUGES_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

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

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_NODE_GAUGES_H_
