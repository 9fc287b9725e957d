// Tests the output of gbrctl against a stand-in node, the examples in the
// command documentation, and that the example service definitions are valid.

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
#include "raw_socket.h"
#include "standin_node.h"

namespace gooseberryrock::ctl {
namespace {

namespace fs = std::filesystem;

const fs::path kSourceFolder = GOOSEBERRYROCK_SOURCE_DIR;

std::vector<std::string> ListFiles(const std::string& folder,
                                   const std::string& extension) {
  std::vector<std::string> files;
  for (const auto& it :
       fs::recursive_directory_iterator(kSourceFolder / folder)) {
    if (it.path().extension() == extension) {
      files.push_back(fs::relative(it.path(), kSourceFolder).string());
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

// Guards against changes of exit codes and output on which operators' scripts
// depend, and against outdated output in the command documentation.
TEST_P(TranscriptTest, PrintsExpectedOutput) {
  const fs::path file = kSourceFolder / GetParam();
  StandinNode node(file.stem().string());
  ExpectTranscript(file, node.port());
}

INSTANTIATE_TEST_SUITE_P(Expected,
                         TranscriptTest,
                         testing::ValuesIn(ListFiles("tests/ctl/expected",
                                                     ".txt")),
                         TestName);
INSTANTIATE_TEST_SUITE_P(Pages,
                         TranscriptTest,
                         testing::ValuesIn(ListFiles("docs/commands", ".md")),
                         TestName);

// Guards against a command that takes effect twice when it is resent to a
// second node after a lost reply: both nodes must receive the same id and
// version.
TEST(ResendTest, SecondNodeReceivesSameCommand) {
  StandinNode node("lost_reply");
  ExpectTranscript(kSourceFolder / "tests/ctl/expected/lost_reply.txt",
                   node.port());
  const auto changes = node.ReceivedChanges();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0], changes[1]);
  EXPECT_THAT(changes[0], testing::HasSubstr("\"command_id\":\"1"));
  EXPECT_THAT(changes[0], testing::HasSubstr("\"expected_version\":\"5\""));
}

// Guards against a membership change that runs twice: it has no command id, so
// it must not be resent when the first node may have run it.
TEST(ResendTest, MembershipChangeIsSentOnce) {
  StandinNode node("membership_unknown");
  ExpectTranscript(kSourceFolder / "tests/ctl/expected/membership_unknown.txt",
                   node.port());
  EXPECT_EQ(node.ReceivedChanges().size(), 1U);
}

// Guards against a reply that is not valid HTTP and is taken for an outcome.
// Status 600 and folded lines have none.
TEST(MalformedReplyTest, OutcomeIsUnknown) {
  http::RawServer node([](http::RawSocket& socket, size_t) {
    const std::string request = socket.ReadRequest();
    if (request.empty()) {
      return;
    }
    const bool is_query = request.starts_with("POST /v1/query/");
    const std::string body = is_query
                                 ? R"({"status":"complete","end":true})"
                                 : R"({"status":"ACCEPTED","version":"6"})";
    socket.Send(std::string("HTTP/1.1 ") +
                (is_query ? "600 X\r\n" : "200 OK\r\nX: a\r\n b\r\n") +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body);
  });
  ExpectTranscript(kSourceFolder / "tests/ctl/malformed_reply.txt",
                   node.port());
}

class ServiceDefinitionTest : public testing::TestWithParam<std::string> {};

// Guards against example definitions that nodes reject.
TEST_P(ServiceDefinitionTest, IsValid) {
  std::ifstream in(kSourceFolder / GetParam());
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
                           auto files = ListFiles("config", ".json");
                           std::erase_if(files, [](const std::string& it) {
                             return it.find("services") == std::string::npos;
                           });
                           return files;
                         }()),
                         TestName);

}  // namespace
}  // namespace gooseberryrock::ctl
