// A customer whose callers identify themselves by a key.

#ifndef GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_H_
#define GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_H_

#include <optional>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/organisations/allotment.h"
#include "gooseberryrock/organisations/key_hash.h"

namespace gooseberryrock::organisations {

struct Organisation {
  OrganisationName name;
  // May be empty: the organisation then has no access.
  std::vector<KeyHash> keys;
  // Takes precedence over the rank of the route.
  std::optional<Rank> rank;
  Allotment allotment;

  bool operator==(const Organisation&) const = default;
};

}  // namespace gooseberryrock::organisations

#endif  // GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_H_
