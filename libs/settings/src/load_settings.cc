// Reads the settings file of a node.

#include "gooseberryrock/settings/load_settings.h"

#include <fstream>
#include <nlohmann/json.hpp>

#include "gooseberryrock/settings/settings.h"
#include "gooseberryrock/settings/settings_error.h"

namespace gooseberryrock::settings {

namespace {

using Json = nlohmann::json;

Address ReadAddress(const Json& json) {
  return {json.at("host"), json.at("port")};
}

PeerSettings ReadPeer(const Json& json) {
  return {{json.at("node")},
          {json.at("failure_domain")},
          ReadAddress(json.at("peer_address")),
          json.value("control", false)};
}

Settings ReadSettings(const Json& json) {
  Settings settings;
  settings.cluster = json.at("cluster");
  settings.node.value = json.at("node");
  settings.failure_domain.value = json.at("failure_domain");
  settings.http_address = ReadAddress(json.at("http_address"));
  settings.peer_address = ReadAddress(json.at("peer_address"));
  settings.data_folder = json.value("data_folder", "");
  for (const Json& peer : json.value("peers", Json::array())) {
    settings.peers.push_back(ReadPeer(peer));
  }
  settings.cluster_key = json.at("cluster_key");
  settings.operator_token = json.at("operator_token");
  settings.http_threads = json.value("http_threads", settings.http_threads);
  settings.query_shards = json.value("query_shards", settings.query_shards);
  settings.io_shards = json.value("io_shards", settings.io_shards);
  settings.log_level = json.value("log_level", settings.log_level);
  return settings;
}

}  // namespace

Settings LoadSettings(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw SettingsError(path + ": cannot be opened");
  }
  try {
    return ReadSettings(Json::parse(in, /*cb=*/nullptr,
                                    /*allow_exceptions=*/true,
                                    /*ignore_comments=*/true));
  } catch (const Json::exception& e) {
    throw SettingsError(path + ": " + e.what());
  }
}

}  // namespace gooseberryrock::settings
