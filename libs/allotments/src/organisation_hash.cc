// Names organisations in messages between nodes.

#include "gooseberryrock/allotments/organisation_hash.h"

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/organisations/organisation.h"

namespace gooseberryrock::allotments {

OrganisationHash HashOf(const OrganisationName& name) {
  return Hash64(name.value);
}

Limits LimitsOf(const std::vector<organisations::Organisation>& organisations) {
  Limits limits;
  for (const organisations::Organisation& it : organisations) {
    if (it.allotment.IsLimited()) {
      limits[HashOf(it.name)] = it.allotment;
    }
  }
  return limits;
}

}  // namespace gooseberryrock::allotments
