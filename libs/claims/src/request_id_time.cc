// Parses the time in the ids of non-idempotent requests.

#include "gooseberryrock/claims/request_id_time.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace gooseberryrock::claims {

namespace {

// Sufficient until the year 5138, and well within the range of WallTime.
constexpr size_t kMaxTimeDigits = 13;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsAllowed(char c) {
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         c == '-' || c == '_';
}

}  // namespace

std::optional<WallTime> RequestIdTime(const RequestId& id) {
  const std::string_view text = id.value;
  const size_t dash = text.find('-');
  if (dash == std::string_view::npos || dash == 0 || dash > kMaxTimeDigits) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(0, dash);
  const std::string_view random = text.substr(dash + 1);
  if (digits.front() == '0' ||
      !std::all_of(digits.begin(), digits.end(), IsDigit) || random.empty() ||
      random.size() > kMaxRandomPart ||
      !std::all_of(random.begin(), random.end(), IsAllowed)) {
    return std::nullopt;
  }
  int64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), ms);
  return WallTime(std::chrono::milliseconds(ms));
}

}  // namespace gooseberryrock::claims
