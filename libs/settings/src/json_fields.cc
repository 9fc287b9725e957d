// Reads fields of JSON objects and collects what is wrong with them.

#include "json_fields.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace gooseberryrock::settings {

namespace {

constexpr size_t kMaxNameLength = 64;

std::string RangeText(Range range) {
  return std::to_string(range.least) + " to " + std::to_string(range.most);
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
  std::string place = object.path;
  if (!key.empty()) {
    place += "/" + std::string(key);
  }
  object.problems.push_back(object.file + ": " + (place.empty() ? "/" : place) +
                            ": " + std::string(text));
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
      field->get_ref<const std::string&>().size() >= length.least &&
      field->get_ref<const std::string&>().size() <= length.most;
  if (!valid) {
    AddProblem(object, key,
               "must be a string of " + RangeText(length) + " characters");
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
                     uint64_t value_if_missing) {
  const Json* field = FindField(object, key, presence);
  if (field == nullptr) {
    return value_if_missing;
  }
  if (!field->is_number_unsigned() || field->get<uint64_t>() < range.least ||
      field->get<uint64_t>() > range.most) {
    AddProblem(object, key, "must be an integer from " + RangeText(range));
    return value_if_missing;
  }
  return *field;
}

double ReadNumber(const JsonObject& object,
                  std::string_view key,
                  double least,
                  double most,
                  double value_if_missing) {
  const Json* field = FindField(object, key, Presence::kOptional);
  if (field == nullptr) {
    return value_if_missing;
  }
  if (!field->is_number() || field->get<double>() < least ||
      field->get<double>() > most) {
    std::ostringstream text;
    text << "must be a number from " << least << " to " << most;
    AddProblem(object, key, text.str());
    return value_if_missing;
  }
  return *field;
}

bool ReadBool(const JsonObject& object,
              std::string_view key,
              bool value_if_missing) {
  const Json* field = FindField(object, key, Presence::kOptional);
  if (field == nullptr) {
    return value_if_missing;
  }
  if (!field->is_boolean()) {
    AddProblem(object, key, "must be true or false");
    return value_if_missing;
  }
  return *field;
}

}  // namespace gooseberryrock::settings
