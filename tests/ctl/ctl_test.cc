// gbrctl against a stand-in node, the command pages, and the example service
// definitions.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl_transcript.h"
#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/catalog/validate.h"
#include "gooseberryrock/proto/convert_catalog.h"
#include "gooseberryrock/proto/json_codec.h"
#include "operator.pb.h"
#include "standin_node.h"

namespace gooseberryrock::ctl {
namespace {

namespace fs = std::filesystem;

const fs::path kSource = GOOSEBERRYROCK_SOURCE_DIR;

std::vector<std::string> Files(const std::string& folder,
                               const std::string& extension) {
  std::vector<std::string> files;
  for (const auto& it : fs::recursive_directory_iterator(kSource / folder)) {
    if (it.path().extension() == extension) {
      files.push_back(fs::relative(it.path(), kSource).string());
    }
  }
  return files;
}

std::string TestName(const testing::TestParamInfo<std::string>& info) {
  std::string name = info.param;
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return !isalnum(c); },
      '_');
  return name;
}

class TranscriptTest : public testing::TestWithParam<std::string> {};

// Guards against exit codes and texts that change under operators' scripts, and
// against command pages that show what the commands no longer print.
TEST_P(TranscriptTest, PrintsExpectedOutput) {
  const fs::path file = kSource / GetParam();
  StandinNode node(file.stem().string());
  ExpectTranscript(file, node.port());
}

INSTANTIATE_TEST_SUITE_P(Expected,
                         TranscriptTest,
                         testing::ValuesIn(Files("tests/ctl/expected", ".txt")),
                         TestName);
INSTANTIATE_TEST_SUITE_P(Pages,
                         TranscriptTest,
                         testing::ValuesIn(Files("docs/commands", ".md")),
                         TestName);

// Guards against a command that takes effect twice when it is sent to a second
// node after a lost reply: both must get the same command.
TEST(ResendTest, OtherNodeGetsSameCommand) {
  StandinNode node("lost_reply");
  ExpectTranscript(kSource / "tests/ctl/expected/lost_reply.txt", node.port());
  const auto changes = node.Changes();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0], changes[1]);
  EXPECT_THAT(changes[0], testing::HasSubstr("\"command_id\":\"1"));
  EXPECT_THAT(changes[0], testing::HasSubstr("\"expected_version\":\"5\""));
}

// Guards against a membership change, which has no command id, that is sent to
// a second node although the first one may have made it.
TEST(ResendTest, MembershipChangeIsSentOnce) {
  StandinNode node("membership_unknown");
  ExpectTranscript(kSource / "tests/ctl/expected/membership_unknown.txt",
                   node.port());
  EXPECT_EQ(node.Changes().size(), 1U);
}

class ServiceDefinitionTest : public testing::TestWithParam<std::string> {};

// Guards against example definitions that nodes refuse.
TEST_P(ServiceDefinitionTest, IsValid) {
  std::ifstream in(kSource / GetParam());
  const auto json = nlohmann::json::parse(in, nullptr, true, true);
  proto::ServiceDefinition message;
  proto::FromJson(json.dump(), message);
  EXPECT_EQ(message.name(), fs::path(GetParam()).stem());
  EXPECT_THAT(
      catalog::Validate(catalog::Catalog(),
                        catalog::PutService{proto::FromMessage(message)}),
      testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Examples,
                         ServiceDefinitionTest,
                         testing::ValuesIn([] {
                           auto files = Files("config", ".json");
                           std::erase_if(files, [](const std::string& it) {
                             return it.find("services") == std::string::npos;
                           });
                           return files;
                         }()),
                         TestName);

}  // namespace
}  // namespace gooseberryrock::ctl
