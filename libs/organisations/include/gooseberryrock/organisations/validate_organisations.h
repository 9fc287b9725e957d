// Validates a list of organisations.

#ifndef GOOSEBERRYROCK_ORGANISATIONS_VALIDATE_ORGANISATIONS_H_
#define GOOSEBERRYROCK_ORGANISATIONS_VALIDATE_ORGANISATIONS_H_

#include <vector>

#include "gooseberryrock/organisations/organisation_problem.h"

namespace gooseberryrock::organisations {

struct Organisation;

// Returns all problems; empty if the list is valid.
std::vector<OrganisationProblem> ValidateOrganisations(
    const std::vector<Organisation>& organisations);

}  // namespace gooseberryrock::organisations

#endif  // GOOSEBERRYROCK_ORGANISATIONS_VALIDATE_ORGANISATIONS_H_
