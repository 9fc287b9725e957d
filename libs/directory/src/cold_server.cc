// Changes of backend servers between cold and warm.

#include "gooseberryrock/directory/cold_server.h"

#include "gooseberryrock/directory/directory.h"

namespace gooseberryrock::directory {

ServerRecord NumberColdChange(const Directory& directory,
                              ServerRecord announced) {
  auto it = directory.entries.find(announced.id);
  if (it == directory.entries.end()) {
    return announced;
  }
  const ServerRecord& known = it->second.record;
  if (known.incarnation == announced.incarnation &&
      known.cold == announced.cold) {
    announced.sequence = known.sequence;
  }
  return announced;
}

}  // namespace gooseberryrock::directory
