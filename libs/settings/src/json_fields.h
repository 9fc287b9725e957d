// Reads fields of JSON objects and collects what is wrong with them.

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
  uint64_t least = 0;
  uint64_t most = 0;
};

// An object of the settings, its JSON pointer and where its problems go.
struct JsonObject {
  const Json& json;
  std::string path;
  std::string file;
  std::vector<std::string>& problems;
};

// Reports `text` about the field `key`, or the object itself when it is empty.
void AddProblem(const JsonObject& object,
                std::string_view key,
                std::string_view text);

// Reports each key that is not in `known`, with the known ones.
void CheckKeys(const JsonObject& object,
               std::initializer_list<std::string_view> known);

// The field `key`, or null when it is missing, which is a problem when
// `presence` says so.
const Json* FindField(const JsonObject& object,
                      std::string_view key,
                      Presence presence);

// Each reader leaves its default in place when the field is missing or wrong.

// A string with a length in `length`. Never shows the value, which may be a
// secret.
std::string ReadString(const JsonObject& object,
                       std::string_view key,
                       Presence presence,
                       Range length);

// 1 to 64 letters, digits, '-', '_' and '.'.
std::string ReadName(const JsonObject& object,
                     std::string_view key,
                     Presence presence);

uint64_t ReadInteger(const JsonObject& object,
                     std::string_view key,
                     Presence presence,
                     Range range,
                     uint64_t value_if_missing);

// A number, also with a fraction, from `least` to `most`.
double ReadNumber(const JsonObject& object,
                  std::string_view key,
                  double least,
                  double most,
                  double value_if_missing);

bool ReadBool(const JsonObject& object,
              std::string_view key,
              bool value_if_missing);

}  // namespace gooseberryrock::settings

#endif  // GOOSEBERRYROCK_SETTINGS_SRC_JSON_FIELDS_H_
