// Finds the organisation of a caller.

#ifndef GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_TABLE_H_
#define GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/organisations/key_hash.h"

namespace gooseberryrock::organisations {

struct Organisation;

struct KeyEntry {
  KeyHash key;
  // Index into the list that the table was built from.
  size_t organisation = 0;
};

// Immutable once built, so threads share it without a lock.
struct OrganisationTable {
  // By the first bytes of the hash.
  std::unordered_multimap<uint64_t, KeyEntry> keys;
  std::unordered_map<OrganisationName, size_t> names;
};

OrganisationTable BuildOrganisationTable(
    const std::vector<Organisation>& organisations);

// Both return null if there is none. `organisations` is the list that `table`
// was built from.
const Organisation* FindByKey(const OrganisationTable& table,
                              const std::vector<Organisation>& organisations,
                              const KeyHash& key);
const Organisation* FindByName(const OrganisationTable& table,
                               const std::vector<Organisation>& organisations,
                               const OrganisationName& name);

}  // namespace gooseberryrock::organisations

#endif  // GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_TABLE_H_
