// Problems of an invalid list of organisations.

#ifndef GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_PROBLEM_H_
#define GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_PROBLEM_H_

#include <string>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::organisations {

enum class OrganisationProblemKind {
  kInvalidName,
  kDuplicateName,
  kEmptyKey,
  // Two organisations have the same key.
  kSharedKey,
  kInvalidAllotment,
};

struct OrganisationProblem {
  OrganisationProblemKind kind = OrganisationProblemKind::kInvalidName;
  OrganisationName organisation;
  // Does not contain keys.
  std::string detail;
};

}  // namespace gooseberryrock::organisations

#endif  // GOOSEBERRYROCK_ORGANISATIONS_ORGANISATION_PROBLEM_H_
