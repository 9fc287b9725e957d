// The configuration of the whole system as a value.

#ifndef GOOSEBERRYROCK_CATALOG_CATALOG_H_
#define GOOSEBERRYROCK_CATALOG_CATALOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/catalog/command_outcome.h"
#include "gooseberryrock/catalog/service_definition.h"

namespace gooseberryrock::catalog {

// Outcomes kept for resends of a command. At 2,200 changes a day this is more
// than four days.
inline constexpr size_t kMaxRememberedCommands = 10000;

struct RememberedCommand {
  CommandId id;
  uint64_t content_hash = 0;
  CommandOutcome outcome;

  auto operator<=>(const RememberedCommand&) const = default;
};

struct Catalog {
  // Rises by one with each accepted command; never falls.
  uint64_t version = 0;
  std::map<ServiceName, ServiceDefinition> services;
  std::map<FailureDomain, uint32_t> reserved_nodes;
  // Oldest first; at most kMaxRememberedCommands. Only control VMs keep it.
  std::deque<RememberedCommand> remembered;
  // Position of each remembered command id, counted from the first command
  // ever remembered; `remembered_base` is that count for remembered.front().
  std::map<CommandId, uint64_t> remembered_index;
  uint64_t remembered_base = 0;
};

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_CATALOG_H_
