// Validates a list of organisations.

#include "gooseberryrock/organisations/validate_organisations.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <set>

#include "gooseberryrock/organisations/organisation.h"

namespace gooseberryrock::organisations {

namespace {

// The name is sent to servers in a header field.
constexpr size_t kMaxNameBytes = 256;

bool IsValidName(const OrganisationName& name) {
  return !name.empty() && name.value.size() <= kMaxNameBytes &&
         std::all_of(name.value.begin(), name.value.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

bool IsValidNumber(double number) {
  return std::isfinite(number) && number >= 0;
}

}  // namespace

std::vector<OrganisationProblem> ValidateOrganisations(
    const std::vector<Organisation>& organisations) {
  const KeyHash empty_key = HashKey("");
  std::vector<OrganisationProblem> problems;
  std::set<OrganisationName> names;
  // The first organisation with the key.
  std::map<KeyHash, size_t> owners;
  for (size_t i = 0; i < organisations.size(); ++i) {
    const Organisation& organisation = organisations[i];
    const auto add = [&](OrganisationProblemKind kind, std::string detail) {
      problems.push_back({kind, organisation.name, std::move(detail)});
    };
    if (!IsValidName(organisation.name)) {
      add(OrganisationProblemKind::kInvalidName,
          "the name must have 1 to 256 visible ASCII characters");
    } else if (!names.insert(organisation.name).second) {
      add(OrganisationProblemKind::kDuplicateName,
          "another organisation has the same name");
    }
    for (const KeyHash& it : organisation.keys) {
      if (it == empty_key) {
        add(OrganisationProblemKind::kEmptyKey, "a key is empty");
        continue;
      }
      const size_t owner = owners.emplace(it, i).first->second;
      if (owner != i) {
        add(OrganisationProblemKind::kSharedKey,
            "organisation '" + organisations[owner].name.value +
                "' has one of its keys");
      }
    }
    if (!IsValidNumber(organisation.allotment.requests_per_second) ||
        !IsValidNumber(organisation.allotment.burst)) {
      add(OrganisationProblemKind::kInvalidAllotment,
          "the rate and the burst must be finite and not negative");
    }
  }
  return problems;
}

}  // namespace gooseberryrock::organisations
