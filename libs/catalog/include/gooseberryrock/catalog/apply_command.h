// Applies operators' commands to the catalog. Deterministic, so that each
// replica of the log comes to the same catalog and the same outcome.

#ifndef GOOSEBERRYROCK_CATALOG_APPLY_COMMAND_H_
#define GOOSEBERRYROCK_CATALOG_APPLY_COMMAND_H_

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/catalog/command.h"

namespace gooseberryrock::catalog {

// Applies `command` when it is valid, expects the current version and was not
// applied before. A resend gets the first outcome again. Every outcome except
// kIdReused is remembered under the command's id.
CommandOutcome ApplyCommand(Catalog& catalog, const Command& command);

// Remembers an outcome, dropping the oldest beyond kMaxRememberedCommands. Also
// rebuilds the memory when a snapshot is loaded.
void RememberCommand(Catalog& catalog, RememberedCommand remembered);

// The remembered command with id `id`, or null.
const RememberedCommand* FindRemembered(const Catalog& catalog,
                                        const CommandId& id);

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_APPLY_COMMAND_H_
