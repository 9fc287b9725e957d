// The configuration of the whole system.

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

// Number of outcomes kept for resent commands. Covers more than four days at
// 2,200 changes a day.
inline constexpr size_t kMaxRememberedCommands = 10000;

struct RememberedCommand {
  CommandId id;
  uint64_t content_hash = 0;
  CommandOutcome outcome;

  auto operator<=>(const RememberedCommand&) const = default;
};

struct Catalog {
  // Incremented by each accepted command. Never decreases.
  uint64_t version = 0;
  std::map<ServiceName, ServiceDefinition> services;
  std::map<FailureDomain, uint32_t> reserved_nodes;
  // Oldest first, at most kMaxRememberedCommands. Kept on control VMs only.
  std::deque<RememberedCommand> remembered;
  // Position of each stored command id, counted from the first command ever
  // stored. `remembered_base` is the position of remembered.front().
  std::map<CommandId, uint64_t> remembered_index;
  uint64_t remembered_base = 0;
};

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_CATALOG_H_
