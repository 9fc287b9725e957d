// Names organisations in messages between nodes.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_ORGANISATION_HASH_H_
#define GOOSEBERRYROCK_ALLOTMENTS_ORGANISATION_HASH_H_

#include <cstdint>
#include <map>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/organisations/allotment.h"

namespace gooseberryrock::organisations {
struct Organisation;
}  // namespace gooseberryrock::organisations

namespace gooseberryrock::allotments {

// The same in all processes.
using OrganisationHash = uint64_t;
using Limits = std::map<OrganisationHash, organisations::Allotment>;

OrganisationHash HashOf(const OrganisationName& name);

// The allotments of the organisations that have one.
Limits LimitsOf(const std::vector<organisations::Organisation>& organisations);

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_ORGANISATION_HASH_H_
