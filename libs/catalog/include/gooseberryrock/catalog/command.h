// An operator command that changes the catalog.

#ifndef GOOSEBERRYROCK_CATALOG_COMMAND_H_
#define GOOSEBERRYROCK_CATALOG_COMMAND_H_

#include <cstdint>
#include <map>
#include <variant>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/catalog/service_definition.h"

namespace gooseberryrock::catalog {

// Creates the service or replaces its definition.
struct PutService {
  ServiceDefinition service;
};

struct RemoveService {
  ServiceName name;
};

// Sets the number of nodes in each failure domain among which the connection
// limits of backend servers are divided.
struct SetReservation {
  std::map<FailureDomain, uint32_t> nodes;
};

using Change = std::variant<PutService, RemoveService, SetReservation>;

struct Command {
  CommandId id;
  // The command applies only to this catalog version.
  uint64_t expected_version = 0;
  Change change;
};

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_COMMAND_H_
