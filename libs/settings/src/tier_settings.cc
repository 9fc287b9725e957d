// Reads and validates the settings of an entry node or a control VM.

#include "gooseberryrock/settings/tier_settings.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

#include "gooseberryrock/settings/settings_error.h"
#include "json_fields.h"

namespace gooseberryrock::settings {

namespace {

constexpr Range kClusterKeyLength = {32, 256};
constexpr Range kPort = {1, 65535};
constexpr Range kOptionalPort = {0, 65535};
constexpr Range kStringLength = {0, 4096};
constexpr Range kCores = {1, 256};
constexpr Range kMemoryMb = {16, 1048576};
constexpr Range kCallerConnections = {0, 1048576};
constexpr Range kToleratedLosses = {0, 5};
constexpr double kMinSeconds = 1;
constexpr double kMaxSeconds = 600;
// An election after the loss of the leader takes up to 2.4 s.
constexpr double kMinReplacementSeconds = 3;
constexpr double kMinMilliseconds = 500;
constexpr double kMaxMilliseconds = 600'000;
constexpr double kMaxExtraAttemptShare = 1;
constexpr double kMaxExtraAttempts = 1e6;
constexpr double kMaxAllotmentOverage = 10;
constexpr double kMaxAllotmentSlack = 1e6;
constexpr size_t kMaxControlVms = 64;

Json ParseFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    throw SettingsError(path + ": cannot be read");
  }
  try {
    Json json = Json::parse(text.str(), nullptr, /*allow_exceptions=*/true,
                            /*ignore_comments=*/true);
    if (json.is_object()) {
      return json;
    }
  } catch (const Json::parse_error& e) {
    throw SettingsError(path +
                        ": is not valid JSON with comments: " + e.what());
  }
  throw SettingsError(path + ": /: must be an object");
}

std::optional<Address> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  Address address;
  address.host = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto result =
      std::from_chars(text.data() + colon + 1, end, address.port);
  if (result.ec != std::errc() || result.ptr != end || address.port == 0) {
    return std::nullopt;
  }
  return address;
}

Address ReadAddressString(const JsonObject& root,
                          std::string_view key,
                          Presence presence) {
  const std::string text = ReadString(root, key, presence, kStringLength);
  const auto address = ParseAddress(text);
  if (!address && (presence == Presence::kRequired || !text.empty())) {
    AddProblem(root, key, "must be like \"10.0.0.1:8080\"");
  }
  return address.value_or(Address());
}

Duration ReadSeconds(const JsonObject& root,
                     std::string_view key,
                     Duration default_value,
                     double min_seconds = kMinSeconds) {
  using Seconds = std::chrono::duration<double>;
  return std::chrono::duration_cast<Duration>(Seconds(ReadNumber(
      root, key, min_seconds, kMaxSeconds, Seconds(default_value).count())));
}

Duration ReadMilliseconds(const JsonObject& root,
                          std::string_view key,
                          Duration default_value) {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  return std::chrono::duration_cast<Duration>(
      Milliseconds(ReadNumber(root, key, kMinMilliseconds, kMaxMilliseconds,
                              Milliseconds(default_value).count())));
}

std::vector<Address> ReadControlVms(const JsonObject& root) {
  std::vector<Address> addresses;
  const Json* field = FindField(root, "control_vms", Presence::kRequired);
  if (field == nullptr) {
    return addresses;
  }
  if (!field->is_array() || field->size() > kMaxControlVms) {
    AddProblem(root, "control_vms", "must be a list of up to 64 addresses");
    return addresses;
  }
  for (const Json& it : *field) {
    const auto address =
        it.is_string() ? ParseAddress(it.get<std::string>()) : std::nullopt;
    if (!address) {
      AddProblem(root, "control_vms", "must hold texts like \"10.0.0.1:8080\"");
      continue;
    }
    addresses.push_back(*address);
  }
  return addresses;
}

// Replies take a quarter of the memory, and the process needs the rest.
constexpr unsigned kMinMemoryPerCallerMemory = 2;

void ReadCallerLimits(const JsonObject& root, TierSettings& settings) {
  const auto read = [&root](std::string_view key, Range range) {
    return static_cast<unsigned>(
        ReadInteger(root, key, Presence::kOptional, range, 0));
  };
  settings.caller_memory_mb = read("caller_memory_mb", {0, kMemoryMb.max});
  if (settings.caller_memory_mb >
      settings.memory_mb / kMinMemoryPerCallerMemory) {
    AddProblem(root, "caller_memory_mb", "must be at most half of memory_mb");
  }
  settings.caller_connections = read("caller_connections", kCallerConnections);
  settings.caller_connections_per_address =
      read("caller_connections_per_address", kCallerConnections);
  if (settings.caller_connections != 0 &&
      settings.caller_connections_per_address > settings.caller_connections) {
    AddProblem(root, "caller_connections_per_address",
               "must be at most caller_connections");
  }
}

}  // namespace

TierSettings LoadTierSettings(const std::string& path, TierRole role) {
  const Json json = ParseFile(path);
  std::vector<std::string> problems;
  const JsonObject root{json, "", path, problems};
  const Presence entry =
      role == TierRole::kEntry ? Presence::kRequired : Presence::kOptional;
  const Presence control =
      role == TierRole::kControl ? Presence::kRequired : Presence::kOptional;
  TierSettings settings;
  settings.cluster = ReadName(root, "cluster", Presence::kRequired);
  settings.cluster_key =
      ReadString(root, "cluster_key", Presence::kRequired, kClusterKeyLength);
  settings.name = ReadName(root, "name", Presence::kRequired);
  settings.address = ReadName(root, "address", Presence::kRequired);
  settings.failure_domain.value =
      ReadName(root, "failure_domain", Presence::kRequired);
  settings.peer_port = static_cast<uint16_t>(
      ReadInteger(root, "peer_port", Presence::kRequired, kPort, 0));
  settings.control_vms = ReadControlVms(root);
  settings.first_start = ReadBool(root, "first_start", settings.first_start);
  settings.data_folder =
      ReadString(root, "data_folder", control, kStringLength);
  if (role == TierRole::kControl && settings.data_folder.empty()) {
    AddProblem(root, "data_folder", "must name the folder of the control VM");
  }
  settings.control_address =
      ReadAddressString(root, "control_address", control);
  settings.caller_address = ReadAddressString(root, "caller_address", entry);
  settings.ready_address = ReadAddressString(root, "ready_address", entry);
  settings.gather_port = static_cast<uint16_t>(
      ReadInteger(root, "gather_port", Presence::kOptional, kOptionalPort, 0));
  if (settings.gather_port != 0 && settings.gather_port == settings.peer_port) {
    AddProblem(root, "gather_port", "must differ from peer_port");
  }
  settings.metrics_address =
      ReadAddressString(root, "metrics_address", Presence::kOptional);
  settings.cores = static_cast<unsigned>(
      ReadInteger(root, "cores", Presence::kOptional, kCores, settings.cores));
  settings.memory_mb = static_cast<unsigned>(ReadInteger(
      root, "memory_mb", Presence::kOptional, kMemoryMb, settings.memory_mb));
  ReadCallerLimits(root, settings);
  settings.tolerated_losses = static_cast<uint32_t>(
      ReadInteger(root, "tolerated_losses", Presence::kOptional,
                  kToleratedLosses, settings.tolerated_losses));
  settings.replacement_time =
      ReadSeconds(root, "replacement_time_s", settings.replacement_time,
                  kMinReplacementSeconds);
  settings.contact_time =
      ReadMilliseconds(root, "contact_time_ms", settings.contact_time);
  settings.route_change_time = ReadMilliseconds(root, "route_change_time_ms",
                                                settings.route_change_time);
  settings.server_drain_time = ReadMilliseconds(root, "server_drain_time_ms",
                                                settings.server_drain_time);
  if (root.json.contains("key_revocation_time_ms")) {
    settings.key_revocation_time = ReadMilliseconds(
        root, "key_revocation_time_ms", settings.key_revocation_time);
  }
  settings.use_stated_slowness =
      ReadBool(root, "use_stated_slowness", settings.use_stated_slowness);
  settings.refuse_unresponsive =
      ReadBool(root, "refuse_unresponsive", settings.refuse_unresponsive);
  settings.extra_attempt_share =
      ReadNumber(root, "extra_attempt_share", 0, kMaxExtraAttemptShare,
                 settings.extra_attempt_share);
  settings.extra_attempts = ReadNumber(
      root, "extra_attempts", 0, kMaxExtraAttempts, settings.extra_attempts);
  settings.extra_attempt_window = ReadSeconds(root, "extra_attempt_window_s",
                                              settings.extra_attempt_window);
  settings.allotment_window =
      ReadSeconds(root, "allotment_window_s", settings.allotment_window);
  settings.allotment_overage =
      ReadNumber(root, "allotment_overage", 0, kMaxAllotmentOverage,
                 settings.allotment_overage);
  settings.allotment_slack = ReadNumber(
      root, "allotment_slack", 0, kMaxAllotmentSlack, settings.allotment_slack);
  settings.stop_time = ReadSeconds(root, "stop_time_s", settings.stop_time);
  if (!problems.empty()) {
    std::string message;
    for (const std::string& it : problems) {
      message += (message.empty() ? "" : "\n") + it;
    }
    throw SettingsError(message);
  }
  return settings;
}

}  // namespace gooseberryrock::settings
