// Tests commands on the catalog.

#include "gooseberryrock/catalog/apply_command.h"

#include <gtest/gtest.h>

#include <string>

namespace gooseberryrock::catalog {
namespace {

Command PutCommand(const std::string& id,
                   uint64_t expected_version,
                   const std::string& service) {
  ServiceDefinition definition;
  definition.name.value = service;
  definition.layouts = {{1, {{"s0"}, {"s1"}}}};
  return {{id}, expected_version, PutService{definition}};
}

// Two operators must not both succeed with the same expected version.
TEST(ApplyCommandTest, SecondCommandAtOneVersionConflicts) {
  Catalog catalog;
  EXPECT_EQ(ApplyCommand(catalog, PutCommand("a", 0, "chairs")).status,
            CommandStatus::kAccepted);
  const CommandOutcome second =
      ApplyCommand(catalog, PutCommand("b", 0, "tills"));
  EXPECT_EQ(second.status, CommandStatus::kConflict);
  EXPECT_EQ(second.version, 1U);
  EXPECT_EQ(catalog.services.size(), 1U);
}

// A command resent after a lost reply must not be applied twice.
TEST(ApplyCommandTest, ResendGetsFirstOutcome) {
  Catalog catalog;
  const Command command = PutCommand("a", 0, "chairs");
  const CommandOutcome first = ApplyCommand(catalog, command);
  ApplyCommand(catalog, PutCommand("b", 1, "tills"));
  EXPECT_EQ(ApplyCommand(catalog, command), first);
  EXPECT_EQ(catalog.version, 2U);
}

// A command that never ran must not get the outcome of another command with the
// same id.
TEST(ApplyCommandTest, ReusedIdWithOtherContentIsAnError) {
  Catalog catalog;
  ApplyCommand(catalog, PutCommand("a", 0, "chairs"));
  EXPECT_EQ(ApplyCommand(catalog, PutCommand("a", 0, "tills")).status,
            CommandStatus::kIdReused);
}

// All problems must be reported at once, not one per attempt.
TEST(ApplyCommandTest, InvalidChangeNamesAllProblems) {
  Catalog catalog;
  Command command = PutCommand("a", 0, "no spaces allowed");
  std::get<PutService>(command.change).service.row_limit = 0;
  const CommandOutcome outcome = ApplyCommand(catalog, command);
  EXPECT_EQ(outcome.status, CommandStatus::kInvalid);
  EXPECT_EQ(outcome.problems.size(), 2U);
  EXPECT_EQ(catalog.version, 0U);
}

// The stored outcomes must not grow with every command ever sent.
TEST(ApplyCommandTest, StoresBoundedNumberOfOutcomes) {
  Catalog catalog;
  for (size_t i = 0; i < kMaxRememberedCommands + 10; ++i) {
    ApplyCommand(catalog, PutCommand(std::to_string(i), i, "chairs"));
  }
  EXPECT_EQ(catalog.remembered.size(), kMaxRememberedCommands);
  EXPECT_EQ(FindRemembered(catalog, {"9"}), nullptr);
  ASSERT_NE(FindRemembered(catalog, {"10"}), nullptr);
  EXPECT_EQ(FindRemembered(catalog, {"10"})->outcome.version, 11U);
}

}  // namespace
}  // namespace gooseberryrock::catalog
