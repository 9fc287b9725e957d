// The state of one service used by the query path. Rebuilt when the catalog or
// the directory changes and shared read-only by all queries.

#ifndef GOOSEBERRYROCK_NODE_SERVICE_VIEW_H_
#define GOOSEBERRYROCK_NODE_SERVICE_VIEW_H_

#include "gooseberryrock/catalog/service_definition.h"
#include "gooseberryrock/query/query_plan.h"

namespace gooseberryrock::node {

struct ServiceView {
  catalog::ServiceDefinition definition;
  query::RoutingTable routing;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_SERVICE_VIEW_H_
