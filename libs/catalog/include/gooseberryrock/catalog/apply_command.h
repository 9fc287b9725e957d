// Applies operator commands to the catalog. Deterministic, so that every
// replica of the log reaches the same catalog and the same outcome.

#ifndef GOOSEBERRYROCK_CATALOG_APPLY_COMMAND_H_
#define GOOSEBERRYROCK_CATALOG_APPLY_COMMAND_H_

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/catalog/command.h"

namespace gooseberryrock::catalog {

// Applies `command` if it is valid, expects the current version and has not
// been applied before. A resent command returns the first outcome. Every
// outcome except kIdReused is stored under the command id.
CommandOutcome ApplyCommand(Catalog& catalog, const Command& command);

// Stores an outcome and drops the oldest one beyond kMaxRememberedCommands.
// Also used to restore the stored outcomes when a snapshot is loaded.
void RememberCommand(Catalog& catalog, RememberedCommand remembered);

// Returns the stored outcome of the command `id`, or null.
const RememberedCommand* FindRemembered(const Catalog& catalog,
                                        const CommandId& id);

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_APPLY_COMMAND_H_
