// What a control VM allows an entry node.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_GRANT_H_
#define GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_GRANT_H_

#include <cstddef>
#include <map>

#include "gooseberryrock/allotments/organisation_hash.h"

namespace gooseberryrock::allotments {

struct OrganisationGrant {
  // Of the arrivals to admit; in [0, 1].
  double fraction = 1;
  // Requests per second that arrive at all nodes; 0 if not stated.
  double demand = 0;
};

struct AllotmentGrant {
  // Entry nodes that the control VMs hear from.
  size_t nodes = 0;
  // All requests of other organisations may be admitted.
  std::map<OrganisationHash, OrganisationGrant> organisations;
};

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_GRANT_H_
