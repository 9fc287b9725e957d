// Applies operator commands to the catalog.

#include "gooseberryrock/catalog/apply_command.h"

#include <utility>

#include "gooseberryrock/catalog/content_hash.h"
#include "gooseberryrock/catalog/validate.h"

namespace gooseberryrock::catalog {

namespace {

void Apply(Catalog& catalog, const PutService& change) {
  catalog.services[change.service.name] = change.service;
}

void Apply(Catalog& catalog, const RemoveService& change) {
  catalog.services.erase(change.name);
}

void Apply(Catalog& catalog, const SetReservation& change) {
  catalog.reserved_nodes = change.nodes;
}

CommandOutcome TryApply(Catalog& catalog, const Command& command) {
  if (command.expected_version != catalog.version) {
    return {CommandStatus::kConflict, catalog.version, {}};
  }
  auto problems = Validate(catalog, command.change);
  if (!problems.empty()) {
    return {CommandStatus::kInvalid, catalog.version, std::move(problems)};
  }
  std::visit([&](const auto& change) { Apply(catalog, change); },
             command.change);
  ++catalog.version;
  return {CommandStatus::kAccepted, catalog.version, {}};
}

}  // namespace

CommandOutcome ApplyCommand(Catalog& catalog, const Command& command) {
  const uint64_t hash = ContentHash(command);
  if (const auto* first = FindRemembered(catalog, command.id)) {
    if (first->content_hash != hash) {
      return {CommandStatus::kIdReused, catalog.version, {}};
    }
    return first->outcome;
  }
  CommandOutcome outcome = TryApply(catalog, command);
  RememberCommand(catalog, {command.id, hash, outcome});
  return outcome;
}

void RememberCommand(Catalog& catalog, RememberedCommand remembered) {
  if (catalog.remembered.size() >= kMaxRememberedCommands) {
    catalog.remembered_index.erase(catalog.remembered.front().id);
    catalog.remembered.pop_front();
    ++catalog.remembered_base;
  }
  catalog.remembered_index[remembered.id] =
      catalog.remembered_base + catalog.remembered.size();
  catalog.remembered.push_back(std::move(remembered));
}

const RememberedCommand* FindRemembered(const Catalog& catalog,
                                        const CommandId& id) {
  auto it = catalog.remembered_index.find(id);
  if (it == catalog.remembered_index.end()) {
    return nullptr;
  }
  return &catalog.remembered[it->second - catalog.remembered_base];
}

}  // namespace gooseberryrock::catalog
