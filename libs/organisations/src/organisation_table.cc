// Finds the organisation of a caller.

#include "gooseberryrock/organisations/organisation_table.h"

#include <cstring>

#include "gooseberryrock/organisations/organisation.h"

namespace gooseberryrock::organisations {

namespace {

uint64_t Prefix(const KeyHash& key) {
  uint64_t prefix = 0;
  std::memcpy(&prefix, key.data(), sizeof(prefix));
  return prefix;
}

}  // namespace

OrganisationTable BuildOrganisationTable(
    const std::vector<Organisation>& organisations) {
  OrganisationTable table;
  for (size_t i = 0; i < organisations.size(); ++i) {
    table.names.emplace(organisations[i].name, i);
    for (const KeyHash& it : organisations[i].keys) {
      table.keys.emplace(Prefix(it), KeyEntry{it, i});
    }
  }
  return table;
}

const Organisation* FindByKey(const OrganisationTable& table,
                              const std::vector<Organisation>& organisations,
                              const KeyHash& key) {
  const Organisation* found = nullptr;
  const auto [begin, end] = table.keys.equal_range(Prefix(key));
  for (auto it = begin; it != end; ++it) {
    if (IsSameKey(it->second.key, key)) {
      found = &organisations[it->second.organisation];
    }
  }
  return found;
}

const Organisation* FindByName(const OrganisationTable& table,
                               const std::vector<Organisation>& organisations,
                               const OrganisationName& name) {
  const auto it = table.names.find(name);
  return it == table.names.end() ? nullptr : &organisations[it->second];
}

}  // namespace gooseberryrock::organisations
