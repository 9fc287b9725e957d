// Tests the lookup and the validation of organisations.

#include <gtest/gtest.h>

#include <limits>
#include <string>
#include <vector>

#include "gooseberryrock/organisations/key_hash.h"
#include "gooseberryrock/organisations/organisation.h"
#include "gooseberryrock/organisations/organisation_table.h"
#include "gooseberryrock/organisations/validate_organisations.h"

namespace gooseberryrock::organisations {
namespace {

Organisation MakeOrganisation(const std::string& name,
                              const std::vector<std::string>& keys) {
  Organisation organisation;
  organisation.name = {name};
  for (const std::string& it : keys) {
    organisation.keys.push_back(HashKey(it));
  }
  return organisation;
}

using Problems = std::vector<OrganisationProblemKind>;

Problems Kinds(const std::vector<Organisation>& organisations) {
  Problems kinds;
  for (const OrganisationProblem& it : ValidateOrganisations(organisations)) {
    kinds.push_back(it.kind);
  }
  return kinds;
}

// Guards against a key that is taken for that of another organisation, also
// when the bytes match by which the table is searched.
TEST(OrganisationTableTest, FindsTheOrganisationOfAKey) {
  std::vector<Organisation> organisations = {
      MakeOrganisation("a", {"key-1", "key-2"}),
      MakeOrganisation("b", {"key-3"}), MakeOrganisation("c", {})};
  KeyHash similar = HashKey("key-3");
  similar.back() ^= 1U;
  organisations[2].keys.push_back(similar);
  const OrganisationTable table = BuildOrganisationTable(organisations);
  const auto find = [&](const KeyHash& key) {
    const Organisation* found = FindByKey(table, organisations, key);
    return found == nullptr ? "" : found->name.value;
  };
  EXPECT_EQ(find(HashKey("key-1")), "a");
  EXPECT_EQ(find(HashKey("key-2")), "a");
  EXPECT_EQ(find(HashKey("key-3")), "b");
  EXPECT_EQ(find(similar), "c");
  EXPECT_EQ(find(HashKey("key-4")), "");
  EXPECT_EQ(find(HashKey("")), "");
  EXPECT_EQ(FindByName(table, organisations, {"b"}), &organisations[1]);
  EXPECT_EQ(FindByName(table, organisations, {"d"}), nullptr);
  EXPECT_EQ(FindByName(table, organisations, {""}), nullptr);
}

// Guards against a key that gives access to two organisations, and against
// names and limits that cannot be used.
TEST(ValidateOrganisationsTest, ReportsEachProblem) {
  EXPECT_EQ(Kinds({MakeOrganisation("a", {"1", "2"}),
                   MakeOrganisation("b", {"3"}), MakeOrganisation("c", {})}),
            Problems());
  EXPECT_EQ(Kinds({MakeOrganisation("a", {"1"}), MakeOrganisation("b", {"1"})}),
            Problems{OrganisationProblemKind::kSharedKey});
  EXPECT_EQ(Kinds({MakeOrganisation("a", {"1"}), MakeOrganisation("a", {"2"})}),
            Problems{OrganisationProblemKind::kDuplicateName});
  EXPECT_EQ(Kinds({MakeOrganisation("a", {""})}),
            Problems{OrganisationProblemKind::kEmptyKey});
  for (const char* name : {"", "a b", "a\r\nX: y"}) {
    EXPECT_EQ(Kinds({MakeOrganisation(name, {"1"})}),
              Problems{OrganisationProblemKind::kInvalidName})
        << name;
  }
  for (const double number : {-1.0, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()}) {
    Organisation organisation = MakeOrganisation("a", {"1"});
    organisation.allotment.requests_per_second = number;
    EXPECT_EQ(Kinds({organisation}),
              Problems{OrganisationProblemKind::kInvalidAllotment});
    organisation.allotment = {1, number};
    EXPECT_EQ(Kinds({organisation}),
              Problems{OrganisationProblemKind::kInvalidAllotment});
  }
}

// Guards against an operator who corrects one problem after the other.
TEST(ValidateOrganisationsTest, ReportsAllProblemsAtOnce) {
  EXPECT_EQ(Kinds({MakeOrganisation("", {"1"}), MakeOrganisation("b", {"1"}),
                   MakeOrganisation("b", {"2"})}),
            (Problems{OrganisationProblemKind::kInvalidName,
                      OrganisationProblemKind::kSharedKey,
                      OrganisationProblemKind::kDuplicateName}));
}

}  // namespace
}  // namespace gooseberryrock::organisations
