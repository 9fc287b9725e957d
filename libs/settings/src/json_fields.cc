// Reads typed fields of JSON objects and collects validation problems.

#include "json_fields.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace gooseberryrock::settings {

namespace {

constexpr size_t kMaxNameLength = 64;

std::string FormatRange(Range range) {
  return std::to_string(range.min) + " to " + std::to_string(range.max);
}

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

}  // namespace

void AddProblem(const JsonObject& object,
                std::string_view key,
                std::string_view text) {
  std::string location = object.path;
  if (!key.empty()) {
    location += "/" + std::string(key);
  }
  object.problems.push_back(object.file + ": " +
                            (location.empty() ? "/" : location) + ": " +
                            std::string(text));
}

void CheckKeys(const JsonObject& object,
               std::initializer_list<std::string_view> known) {
  std::string names;
  for (std::string_view it : known) {
    names += (names.empty() ? "" : ", ") + std::string(it);
  }
  for (const auto& [key, value] : object.json.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      AddProblem(object, key, "unknown key; known keys: " + names);
    }
  }
}

const Json* FindField(const JsonObject& object,
                      std::string_view key,
                      Presence presence) {
  const auto it = object.json.find(key);
  if (it != object.json.end()) {
    return &*it;
  }
  if (presence == Presence::kRequired) {
    AddProblem(object, key, "is missing");
  }
  return nullptr;
}

std::string ReadString(const JsonObject& object,
                       std::string_view key,
                       Presence presence,
                       Range length) {
  const Json* field = FindField(object, key, presence);
  if (field == nullptr) {
    return "";
  }
  const bool valid =
      field->is_string() &&
      field->get_ref<const std::string&>().size() >= length.min &&
      field->get_ref<const std::string&>().size() <= length.max;
  if (!valid) {
    AddProblem(object, key,
               "must be a string of " + FormatRange(length) + " characters");
    return "";
  }
  return *field;
}

std::string ReadName(const JsonObject& object,
                     std::string_view key,
                     Presence presence) {
  const Json* field = FindField(object, key, presence);
  if (field == nullptr) {
    return "";
  }
  if (!field->is_string() ||
      !IsValidName(field->get_ref<const std::string&>())) {
    AddProblem(object, key,
               "must be a string of 1 to " + std::to_string(kMaxNameLength) +
                   " letters, digits, '-', '_' or '.'");
    return "";
  }
  return *field;
}

uint64_t ReadInteger(const JsonObject& object,
                     std::string_view key,
                     Presence presence,
                     Range range,
                     uint64_t default_value) {
  const Json* field = FindField(object, key, presence);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_number_unsigned() || field->get<uint64_t>() < range.min ||
      field->get<uint64_t>() > range.max) {
    AddProblem(object, key, "must be an integer from " + FormatRange(range));
    return default_value;
  }
  return *field;
}

double ReadNumber(const JsonObject& object,
                  std::string_view key,
                  double min,
                  double max,
                  double default_value) {
  const Json* field = FindField(object, key, Presence::kOptional);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_number() || field->get<double>() < min ||
      field->get<double>() > max) {
    std::ostringstream text;
    text << "must be a number from " << min << " to " << max;
    AddProblem(object, key, text.str());
    return default_value;
  }
  return *field;
}

bool ReadBool(const JsonObject& object,
              std::string_view key,
              bool default_value) {
  const Json* field = FindField(object, key, Presence::kOptional);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_boolean()) {
    AddProblem(object, key, "must be true or false");
    return default_value;
  }
  return *field;
}

}  // namespace gooseberryrock::settings
