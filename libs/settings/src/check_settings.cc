// Reads and validates the settings file of a node, and reports all problems.

#include "gooseberryrock/settings/check_settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string_view>
#include <system_error>

#include "json_fields.h"

namespace gooseberryrock::settings {

namespace {

namespace fs = std::filesystem;

constexpr Range kPort = {1, 65535};
// The HMAC of frames between nodes needs a key of 32 bytes.
constexpr Range kClusterKeyLength = {32, 256};
// The token is sent as a header value of at most 256 bytes after "Bearer ".
constexpr Range kOperatorTokenLength = {16, 200};
constexpr Range kFileNameLength = {1, 4096};
constexpr size_t kMaxPeers = 10000;
constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info",
                                                        "warning", "error"};

// Collects keys that appear twice in one object. The parser would silently keep
// only the last value.
struct DuplicateKeys {
  std::vector<std::set<std::string>> open_objects;
  std::set<std::string> found;
};

void HandleParseEvent(DuplicateKeys& keys,
                      Json::parse_event_t event,
                      const Json& parsed) {
  if (event == Json::parse_event_t::object_start) {
    keys.open_objects.emplace_back();
  } else if (event == Json::parse_event_t::object_end) {
    keys.open_objects.pop_back();
  } else if (event == Json::parse_event_t::key &&
             !keys.open_objects.back().insert(parsed).second) {
    keys.found.insert(parsed);
  }
}

// "line 3, column 7" for the byte at `offset`, counted from 1.
std::string LineAndColumn(std::string_view text, size_t offset) {
  const size_t end = std::min(offset == 0 ? 0 : offset - 1, text.size());
  const std::string_view before = text.substr(0, end);
  const auto lines = std::count(before.begin(), before.end(), '\n');
  const size_t newline = before.rfind('\n');
  const size_t column =
      newline == std::string_view::npos ? end + 1 : end - newline;
  return "line " + std::to_string(lines + 1) + ", column " +
         std::to_string(column);
}

Json ParseSettings(const std::string& file,
                   const std::string& text,
                   std::vector<std::string>& problems) {
  DuplicateKeys keys;
  const auto on_event = [&](int /*depth*/, Json::parse_event_t event,
                            Json& parsed) {
    HandleParseEvent(keys, event, parsed);
    return true;
  };
  Json json;
  try {
    json = Json::parse(text, on_event, /*allow_exceptions=*/true,
                       /*ignore_comments=*/true);
  } catch (const Json::parse_error& e) {
    problems.push_back(file + ": " + LineAndColumn(text, e.byte) +
                       ": is not valid JSON with comments");
    return json;
  }
  for (const std::string& key : keys.found) {
    std::string& problem = problems.emplace_back(file);
    problem += ": key '" + key + "' appears twice in one object";
  }
  if (!json.is_object()) {
    problems.push_back(file + ": /: must be an object");
  }
  return json;
}

bool IsNumericAddress(const std::string& host) {
  in6_addr buf;
  return inet_pton(AF_INET, host.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &buf) == 1;
}

Address ReadAddress(const JsonObject& object, std::string_view key) {
  const Json* field = FindField(object, key, Presence::kRequired);
  if (field == nullptr) {
    return {};
  }
  if (!field->is_object()) {
    AddProblem(object, key,
               R"(must be an object like {"host": "10.0.0.1", "port": 8080})");
    return {};
  }
  const JsonObject address{*field, object.path + "/" + std::string(key),
                           object.file, object.problems};
  CheckKeys(address, {"host", "port"});
  Address result;
  result.port = static_cast<uint16_t>(
      ReadInteger(address, "port", Presence::kRequired, kPort, 0));
  const Json* host = FindField(address, "host", Presence::kRequired);
  if (host != nullptr &&
      (!host->is_string() || !IsNumericAddress(host->get<std::string>()))) {
    AddProblem(address, "host", "must be a numeric IPv4 or IPv6 address");
  } else if (host != nullptr) {
    result.host = *host;
  }
  return result;
}

PeerSettings ReadPeer(const JsonObject& object) {
  CheckKeys(object, {"node", "failure_domain", "peer_address", "control"});
  PeerSettings peer;
  peer.node.value = ReadName(object, "node", Presence::kRequired);
  peer.failure_domain.value =
      ReadName(object, "failure_domain", Presence::kRequired);
  peer.peer_address = ReadAddress(object, "peer_address");
  peer.control = ReadBool(object, "control", false);
  if (peer.peer_address.host == "0.0.0.0" || peer.peer_address.host == "::") {
    AddProblem(object, "peer_address",
               "must be the address of one node, not of all interfaces");
  }
  return peer;
}

// Reports duplicate node ids and peer addresses, with which two nodes would
// count as one voter.
void CheckDistinct(const JsonObject& root, const Settings& settings) {
  std::set<NodeId> nodes = {settings.node};
  std::set<Address> addresses = {settings.peer_address};
  if (settings.http_address == settings.peer_address &&
      !settings.http_address.host.empty()) {
    AddProblem(root, "peer_address", "must differ from http_address");
  }
  for (size_t i = 0; i < settings.peers.size(); ++i) {
    const PeerSettings& peer = settings.peers[i];
    const std::string field_path = "peers/" + std::to_string(i);
    if (!peer.node.empty() && !nodes.insert(peer.node).second) {
      AddProblem(root, field_path + "/node",
                 "node '" + peer.node.value + "' appears twice");
    }
    if (!peer.peer_address.host.empty() &&
        !addresses.insert(peer.peer_address).second) {
      AddProblem(root, field_path + "/peer_address",
                 "address " + peer.peer_address.host + " port " +
                     std::to_string(peer.peer_address.port) + " appears twice");
    }
  }
}

void ReadPeers(const JsonObject& root, Settings& settings) {
  const Json* peers = FindField(root, "peers", Presence::kOptional);
  if (peers == nullptr) {
    return;
  }
  if (!peers->is_array() || peers->size() > kMaxPeers) {
    AddProblem(root, "peers",
               "must be an array of 0 to " + std::to_string(kMaxPeers) +
                   " objects, one for each other node");
    return;
  }
  for (size_t i = 0; i < peers->size(); ++i) {
    const JsonObject peer{(*peers)[i], "/peers/" + std::to_string(i), root.file,
                          root.problems};
    if (!peer.json.is_object()) {
      AddProblem(peer, "", "must be an object");
      // Placeholder, so that indexes match the array in CheckDistinct().
      settings.peers.emplace_back();
      continue;
    }
    settings.peers.push_back(ReadPeer(peer));
  }
}

// Reads a secret from the first line of the file that `key` names.
std::string ReadSecretFile(const JsonObject& root,
                           const std::string& key,
                           Range length,
                           std::vector<std::string>& warnings) {
  const std::string name =
      ReadString(root, key, Presence::kOptional, kFileNameLength);
  if (name.empty()) {
    return "";
  }
  const fs::path path = fs::path(root.file).parent_path() / name;
  std::ifstream in(path);
  std::string secret;
  if (!in || !std::getline(in, secret)) {
    AddProblem(root, key, "file " + path.string() + " cannot be read");
    return "";
  }
  if (secret.size() < length.min || secret.size() > length.max) {
    AddProblem(root, key,
               "the first line of " + path.string() + " must have " +
                   std::to_string(length.min) + " to " +
                   std::to_string(length.max) + " characters");
  }
  std::error_code ec;
  if ((fs::status(path, ec).permissions() & fs::perms::others_read) !=
      fs::perms::none) {
    warnings.push_back(root.file + ": /" + key + ": all users can read " +
                       path.string());
  }
  return secret;
}

// Reads the secret `key` from the settings or from the file that `key`_file
// names.
std::string ReadSecret(const JsonObject& root,
                       const std::string& key,
                       Range length,
                       std::vector<std::string>& warnings) {
  const std::string file_key = key + "_file";
  const bool in_settings = root.json.contains(key);
  if (in_settings == root.json.contains(file_key)) {
    AddProblem(root, key,
               "exactly one of this and " + file_key + " must be present");
  }
  return in_settings ? ReadString(root, key, Presence::kRequired, length)
                     : ReadSecretFile(root, file_key, length, warnings);
}

void ReadDataFolder(const JsonObject& root, Settings& settings) {
  settings.data_folder =
      ReadString(root, "data_folder", Presence::kOptional, kFileNameLength);
  if (settings.data_folder.empty()) {
    return;
  }
  const fs::path folder(settings.data_folder);
  std::error_code ec;
  if (!folder.is_absolute()) {
    AddProblem(root, "data_folder", "must be an absolute path");
  } else if (fs::exists(folder, ec)) {
    if (!fs::is_directory(folder, ec)) {
      AddProblem(root, "data_folder", "must be a folder, not a file");
    }
  } else if (!fs::is_directory(folder.parent_path(), ec)) {
    AddProblem(root, "data_folder",
               "its parent folder " + folder.parent_path().string() +
                   " does not exist");
  }
}

void ReadThreadsAndLimits(const JsonObject& root, Settings& settings) {
  const auto read = [&](std::string_view key, Range range,
                        uint64_t default_value) {
    return static_cast<unsigned>(
        ReadInteger(root, key, Presence::kOptional, range, default_value));
  };
  const size_t problems_before = root.problems.size();
  settings.http_threads =
      read("http_threads", {2, 4096}, settings.http_threads);
  const bool threads_valid = root.problems.size() == problems_before;
  settings.query_shards = read("query_shards", {1, 64}, settings.query_shards);
  settings.io_shards = read("io_shards", {1, 64}, settings.io_shards);
  settings.drain_wait =
      std::chrono::milliseconds(read("drain_wait_ms", {0, 60000}, 2000));
  // By default a quarter of the threads stays free for requests other than
  // queries.
  const unsigned default_value = std::max(1U, settings.http_threads / 4 * 3);
  settings.max_in_flight = read("max_in_flight", {1, 4095}, default_value);
  if (threads_valid && settings.max_in_flight >= settings.http_threads) {
    AddProblem(root, "max_in_flight",
               "must be below http_threads, which is " +
                   std::to_string(settings.http_threads));
  }
}

void ReadLogLevel(const JsonObject& root, Settings& settings) {
  const Json* level = FindField(root, "log_level", Presence::kOptional);
  if (level == nullptr) {
    return;
  }
  if (!level->is_string() ||
      std::find(kLogLevels.begin(), kLogLevels.end(),
                level->get<std::string>()) == kLogLevels.end()) {
    AddProblem(root, "log_level", "must be debug, info, warning or error");
    return;
  }
  settings.log_level = *level;
}

// Warns of a control group with no nodes or an even number of nodes: both are
// valid, but tolerate fewer losses than an operator is likely to expect.
void CheckControlNodes(const JsonObject& root,
                       const Settings& settings,
                       std::vector<std::string>& warnings) {
  const auto controls =
      std::count_if(settings.peers.begin(), settings.peers.end(),
                    [](const PeerSettings& it) { return it.control; }) +
      (settings.data_folder.empty() ? 0 : 1);
  if (controls == 0) {
    warnings.push_back(root.file +
                       ": /peers: there is no control node; without one, "
                       "bookings and commands are not run");
  } else if (controls % 2 == 0) {
    warnings.push_back(root.file + ": /peers: " + std::to_string(controls) +
                       " control nodes tolerate no more losses than " +
                       std::to_string(controls - 1) +
                       "; an odd number is better");
  }
}

void ReadSettings(const JsonObject& root, SettingsReport& report) {
  CheckKeys(root,
            {"cluster", "node", "failure_domain", "region", "http_address",
             "peer_address", "data_folder", "peers", "cluster_key",
             "cluster_key_file", "operator_token", "operator_token_file",
             "http_threads", "query_shards", "io_shards", "drain_wait_ms",
             "log_level", "max_in_flight", "join_existing_log"});
  Settings& settings = report.settings;
  settings.cluster = ReadName(root, "cluster", Presence::kRequired);
  settings.node.value = ReadName(root, "node", Presence::kRequired);
  settings.failure_domain.value =
      ReadName(root, "failure_domain", Presence::kRequired);
  settings.region = ReadName(root, "region", Presence::kOptional);
  settings.http_address = ReadAddress(root, "http_address");
  settings.peer_address = ReadAddress(root, "peer_address");
  ReadDataFolder(root, settings);
  settings.join_existing_log =
      ReadBool(root, "join_existing_log", settings.join_existing_log);
  ReadPeers(root, settings);
  settings.cluster_key =
      ReadSecret(root, "cluster_key", kClusterKeyLength, report.warnings);
  settings.operator_token =
      ReadSecret(root, "operator_token", kOperatorTokenLength, report.warnings);
  ReadThreadsAndLimits(root, settings);
  ReadLogLevel(root, settings);
  CheckDistinct(root, settings);
  CheckControlNodes(root, settings, report.warnings);
}

}  // namespace

SettingsReport CheckSettings(const std::string& path) {
  SettingsReport report;
  std::ifstream in(path);
  if (!in) {
    report.problems.push_back(path + ": cannot be read");
    return report;
  }
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  const Json json = ParseSettings(path, text, report.problems);
  if (json.is_object()) {
    ReadSettings({json, "", path, report.problems}, report);
  }
  return report;
}

}  // namespace gooseberryrock::settings
