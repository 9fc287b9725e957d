// Reads typed fields of JSON objects and collects validation problems.

#ifndef GOOSEBERRYROCK_SETTINGS_SRC_JSON_FIELDS_H_
#define GOOSEBERRYROCK_SETTINGS_SRC_JSON_FIELDS_H_

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryrock::settings {

using Json = nlohmann::json;

enum class Presence { kRequired, kOptional };

struct Range {
  uint64_t min = 0;
  uint64_t max = 0;
};

// A JSON object of the settings with its JSON pointer, and the list to which
// its problems are added.
struct JsonObject {
  const Json& json;
  std::string path;
  std::string file;
  std::vector<std::string>& problems;
};

// Adds a problem with the field `key`, or with the object itself when `key` is
// empty.
void AddProblem(const JsonObject& object,
                std::string_view key,
                std::string_view text);

// Adds a problem for each key that is not in `known`, and lists the known keys.
void CheckKeys(const JsonObject& object,
               std::initializer_list<std::string_view> known);

// Returns the field `key`, or null when it is missing. Adds a problem when a
// required field is missing.
const Json* FindField(const JsonObject& object,
                      std::string_view key,
                      Presence presence);

// The functions below return the default value, or an empty string, when the
// field is missing or invalid, and add a problem when it is invalid.

// Reads a string whose length is in `length`. Problems do not include the
// value, which may be a secret.
std::string ReadString(const JsonObject& object,
                       std::string_view key,
                       Presence presence,
                       Range length);

// Reads a string of 1 to 64 letters, digits, '-', '_' and '.'.
std::string ReadName(const JsonObject& object,
                     std::string_view key,
                     Presence presence);

uint64_t ReadInteger(const JsonObject& object,
                     std::string_view key,
                     Presence presence,
                     Range range,
                     uint64_t default_value);

// Reads an integer or a fraction from `min` to `max`.
double ReadNumber(const JsonObject& object,
                  std::string_view key,
                  double min,
                  double max,
                  double default_value);

bool ReadBool(const JsonObject& object,
              std::string_view key,
              bool default_value);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_SRC_JSON_FIELDS_H_
