// Tests validation of settings files, and that the example settings are valid.

#include "gooseberryrock/settings/check_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

#include "gooseberryrock/settings/load_settings.h"
#include "gooseberryrock/settings/settings_error.h"

namespace gooseberryrock::settings {
namespace {

namespace fs = std::filesystem;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

class CheckSettingsTest : public testing::Test {
 protected:
  CheckSettingsTest()
      : folder_(fs::path(testing::TempDir()) /
                testing::UnitTest::GetInstance()->current_test_info()->name()) {
    fs::create_directories(folder_);
  }
  ~CheckSettingsTest() override { fs::remove_all(folder_); }

  std::string WriteFile(const std::string& name, const std::string& text) {
    const fs::path path = folder_ / name;
    std::ofstream(path) << text;
    fs::permissions(path, fs::perms::owner_read | fs::perms::owner_write);
    return path.string();
  }

  // Problems without the leading file name.
  std::vector<std::string> ProblemsOf(const std::string& text) {
    const std::string path = WriteFile("node.json", text);
    std::vector<std::string> result = CheckSettings(path).problems;
    for (std::string& it : result) {
      EXPECT_TRUE(it.starts_with(path + ": ")) << it;
      it.erase(0, path.size() + 2);
    }
    return result;
  }

  const fs::path folder_;
};

// Valid settings with the text `more_fields` appended to the fields.
std::string ValidSettings(const std::string& more_fields = "") {
  return R"({
  // A comment.
  "cluster": "salon", "node": "node-a1", "failure_domain": "a",
  "http_address": {"host": "127.0.0.1", "port": 8080},
  "peer_address": {"host": "::1", "port": 8090},
  "cluster_key": "0123456789abcdef0123456789abcdef",
  "operator_token": "0123456789abcdef")" +
         more_fields + "}";
}

// Guards against a value that is stored in the wrong field.
TEST_F(CheckSettingsTest, ReadsAllFields) {
  const std::string key = "key-from-a-file-of-at-least-32-chars";
  WriteFile("cluster.key", key + "\n");
  const auto report = CheckSettings(WriteFile("node.json", R"({
    "cluster": "salon", "node": "n", "failure_domain": "a", "region": "west",
    "http_address": {"host": "10.0.0.1", "port": 1},
    "peer_address": {"host": "10.0.0.1", "port": 65535},
    "data_folder": "/tmp",
    "peers": [{"node": "m", "failure_domain": "b", "control": true,
               "peer_address": {"host": "10.0.0.2", "port": 2}},
              {"node": "o", "failure_domain": "c", "control": true,
               "peer_address": {"host": "10.0.0.3", "port": 2}}],
    "cluster_key_file": "cluster.key", "operator_token": "0123456789abcdef",
    "http_threads": 100, "query_shards": 2, "io_shards": 3,
    "drain_wait_ms": 1500, "log_level": "debug", "max_in_flight": 70})"));
  ASSERT_THAT(report.problems, IsEmpty());
  EXPECT_THAT(report.warnings, IsEmpty());
  const Settings& it = report.settings;
  EXPECT_EQ(it.cluster + it.node.value + it.failure_domain.value + it.region,
            "salonnawest");
  EXPECT_EQ(it.http_address, (Address{"10.0.0.1", 1}));
  EXPECT_EQ(it.peer_address, (Address{"10.0.0.1", 65535}));
  EXPECT_EQ(it.data_folder, "/tmp");
  ASSERT_EQ(it.peers.size(), 2U);
  EXPECT_EQ(it.peers[0].node.value + it.peers[0].failure_domain.value, "mb");
  EXPECT_EQ(it.peers[0].peer_address, (Address{"10.0.0.2", 2}));
  EXPECT_TRUE(it.peers[0].control);
  EXPECT_EQ(it.cluster_key, key);
  EXPECT_EQ(it.operator_token, "0123456789abcdef");
  EXPECT_EQ(it.http_threads, 100U);
  EXPECT_EQ(it.query_shards, 2U);
  EXPECT_EQ(it.io_shards, 3U);
  EXPECT_EQ(it.drain_wait, std::chrono::milliseconds(1500));
  EXPECT_EQ(it.log_level, "debug");
  EXPECT_EQ(it.max_in_flight, 70U);
}

// Guards against reports of only the first problem, after which an operator
// would have to fix a file one error at a time.
TEST_F(CheckSettingsTest, ReportsAllProblemsWithLocationAndRange) {
  EXPECT_THAT(
      ProblemsOf(R"({
    "cluster": "no spaces", "node": 7, "colour": "red",
    "http_address": {"host": "localhost", "port": 0},
    "peer_address": "10.0.0.1:80",
    "data_folder": "/no/such/folder",
    "peers": [{"node": "m", "failure_domain": "b", "control": "yes",
               "peer_address": {"host": "10.0.0.2", "port": 2}},
              {"node": "m", "failure_domain": "b",
               "peer_address": {"host": "10.0.0.2", "port": 2}}, 5],
    "cluster_key": "short", "http_threads": 1, "query_shards": 2.5,
    "drain_wait_ms": -1, "log_level": "loud", "max_in_flight": 0})"),
      testing::UnorderedElementsAre(
          HasSubstr("/colour: unknown key; known keys: cluster, node"),
          HasSubstr("/cluster: must be a string of 1 to 64 letters"),
          HasSubstr("/node: must be a string of 1 to 64 letters"),
          "/failure_domain: is missing",
          "/http_address/host: must be a numeric IPv4 or IPv6 address",
          "/http_address/port: must be an integer from 1 to 65535",
          HasSubstr("/peer_address: must be an object like"),
          "/data_folder: its parent folder /no/such does not exist",
          "/peers/0/control: must be true or false",
          "/peers/2: must be an object",
          "/peers/1/node: node 'm' appears twice",
          "/peers/1/peer_address: address 10.0.0.2 port 2 appears twice",
          "/cluster_key: must be a string of 32 to 256 characters",
          "/operator_token: exactly one of this and operator_token_file must "
          "be present",
          "/http_threads: must be an integer from 2 to 4096",
          "/query_shards: must be an integer from 1 to 64",
          "/drain_wait_ms: must be an integer from 0 to 60000",
          "/log_level: must be debug, info, warning or error",
          "/max_in_flight: must be an integer from 1 to 4095"));
}

// Guards against queries that occupy all HTTP threads, so that health checks
// fail.
TEST_F(CheckSettingsTest, QueriesInFlightLeaveThreadsFree) {
  EXPECT_THAT(
      ProblemsOf(ValidSettings(R"(, "max_in_flight": 64)")),
      ElementsAre("/max_in_flight: must be below http_threads, which is 64"));
  const auto report = CheckSettings(
      WriteFile("node.json", ValidSettings(R"(, "http_threads": 16)")));
  EXPECT_THAT(report.problems, IsEmpty());
  EXPECT_EQ(report.settings.max_in_flight, 12U);
}

// Guards against a syntax error that is reported without its location.
TEST_F(CheckSettingsTest, SyntaxErrorHasLineAndColumn) {
  EXPECT_THAT(
      ProblemsOf("{\n  // note\n  \"cluster\" \"x\"\n}"),
      ElementsAre("line 3, column 15: is not valid JSON with comments"));
  EXPECT_THAT(ProblemsOf(""),
              ElementsAre("line 1, column 1: is not valid JSON with comments"));
  EXPECT_THAT(ProblemsOf("[]"), ElementsAre("/: must be an object"));
  EXPECT_THAT(CheckSettings("/no/such/file").problems,
              ElementsAre("/no/such/file: cannot be read"));
}

// Guards against a key that silently overrides an earlier one.
TEST_F(CheckSettingsTest, ReportsDuplicateKey) {
  EXPECT_THAT(ProblemsOf(ValidSettings(R"(, "node": "other")")),
              ElementsAre("key 'node' appears twice in one object"));
}

// Guards against problems that print a secret.
TEST_F(CheckSettingsTest, SecretFilesAreCheckedAndNotShown) {
  const std::string token = WriteFile("token", "too-short");
  const std::string text = ValidSettings();
  const size_t at = text.find(R"("operator_token")");
  EXPECT_THAT(
      ProblemsOf(text.substr(0, at) + R"("operator_token_file": "token"})"),
      ElementsAre("/operator_token_file: the first line of " + token +
                  " must have 16 to 200 characters"));
  EXPECT_THAT(
      ProblemsOf(text.substr(0, at) + R"("operator_token_file": "no"})"),
      ElementsAre(HasSubstr("/operator_token_file: file ")));
  WriteFile("token", "long-enough-operator-token");
  fs::permissions(token, fs::perms::others_read, fs::perm_options::add);
  const auto report = CheckSettings(WriteFile(
      "node.json", text.substr(0, at) + R"("operator_token_file": "token"})"));
  EXPECT_THAT(report.problems, IsEmpty());
  EXPECT_THAT(report.warnings,
              testing::Contains(HasSubstr("all users can read")));
}

// Guards against an even number of control nodes without a warning: such a
// group tolerates no more losses than one node fewer.
TEST_F(CheckSettingsTest, WarnsOfEvenOrMissingControlNodes) {
  EXPECT_THAT(CheckSettings(WriteFile("node.json", ValidSettings())).warnings,
              ElementsAre(HasSubstr("there is no control node")));
  EXPECT_THAT(
      CheckSettings(
          WriteFile(
              "node.json",
              ValidSettings(R"(, "data_folder": "/tmp", "peers": [{"node": "m",
        "failure_domain": "b", "control": true,
        "peer_address": {"host": "10.0.0.2", "port": 2}}])")))
          .warnings,
      ElementsAre(HasSubstr("2 control nodes tolerate no more losses than 1")));
}

// Guards against an exception that names only one of several problems.
TEST_F(CheckSettingsTest, LoadThrowsAllProblems) {
  const std::string path = WriteFile(
      "node.json", ValidSettings(R"(, "io_shards": 0, "query_shards": 0)"));
  try {
    LoadSettings(path);
    FAIL() << "LoadSettings() accepted wrong settings";
  } catch (const SettingsError& e) {
    EXPECT_THAT(e.what(), HasSubstr("/io_shards"));
    EXPECT_THAT(e.what(), HasSubstr("/query_shards"));
  }
}

// Guards against example settings that are invalid or inconsistent: the peers
// of each node must be all other nodes, with the values from their own files.
class ExampleSettingsTest : public CheckSettingsTest,
                            public testing::WithParamInterface<const char*> {};

TEST_P(ExampleSettingsTest, AreValidAndAgree) {
  const fs::path source = fs::path(GOOSEBERRYROCK_SOURCE_DIR) / "config";
  WriteFile("cluster.key", std::string(32, 'k'));
  WriteFile("operator.token", std::string(16, 't'));
  std::map<NodeId, Settings> nodes;
  for (const auto& it : fs::directory_iterator(source / GetParam())) {
    if (it.is_directory()) {
      continue;
    }
    fs::copy(it.path(), folder_);
    const auto report =
        CheckSettings((folder_ / it.path().filename()).string());
    EXPECT_THAT(report.problems, IsEmpty());
    EXPECT_THAT(report.warnings, IsEmpty());
    nodes[report.settings.node] = report.settings;
  }
  EXPECT_GE(nodes.size(), 6U);
  std::map<FailureDomain, int> controls;
  for (const auto& [id, node] : nodes) {
    EXPECT_EQ(node.peers.size(), nodes.size() - 1);
    controls[node.failure_domain] += node.data_folder.empty() ? 0 : 1;
    for (const PeerSettings& peer : node.peers) {
      const Settings& other = nodes[peer.node];
      EXPECT_EQ(peer.failure_domain, other.failure_domain);
      EXPECT_EQ(peer.peer_address, other.peer_address);
      EXPECT_EQ(peer.control, !other.data_folder.empty());
    }
  }
  EXPECT_THAT(controls, ElementsAre(testing::Pair(testing::_, 1),
                                    testing::Pair(testing::_, 1),
                                    testing::Pair(testing::_, 1)));
}

INSTANTIATE_TEST_SUITE_P(Examples,
                         ExampleSettingsTest,
                         testing::Values("salon", "parts"));

}  // namespace
}  // namespace gooseberryrock::settings
