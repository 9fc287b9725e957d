// A reader that accepts only messages whose end is certain (RFC 9112).

#include "strict_reader.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace gooseberryrock::transport {

namespace {

// More would be faulty; none of the tests sends as many.
constexpr int kMaxInterimReplies = 8;

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  return first == std::string_view::npos
             ? std::string_view()
             : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool IsMadeOf(std::string_view text, std::string_view characters) {
  return !text.empty() &&
         text.find_first_not_of(characters) == std::string_view::npos;
}

}  // namespace

bool StrictReader::Fail() {
  faulty = true;
  return false;
}

bool StrictReader::TakeLine(std::string_view& line) {
  const size_t end = text.find("\r\n");
  if (end == std::string_view::npos) {
    return false;
  }
  line = text.substr(0, end);
  text.remove_prefix(end + 2);
  return true;
}

bool StrictReader::TakeFields(std::vector<std::string>& lengths,
                              std::vector<std::string>& codings) {
  std::string_view line;
  std::vector<std::string> ignored;
  std::vector<std::string>* values = nullptr;
  while (TakeLine(line)) {
    if (line.empty()) {
      return true;
    }
    if (line.find('\n') != line.npos) {
      return Fail();
    }
    // A line that starts with a space continues the field before.
    if (values != nullptr && !refuses_folded_lines &&
        (line[0] == ' ' || line[0] == '\t')) {
      values->back() += " " + Lower(Trim(line));
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos ||
        line.substr(0, colon).find_first_of(" \t") != line.npos) {
      return Fail();
    }
    const std::string name = Lower(line.substr(0, colon));
    values = name == "content-length"      ? &lengths
             : name == "transfer-encoding" ? &codings
                                           : &ignored;
    values->push_back(Lower(Trim(line.substr(colon + 1))));
  }
  return false;
}

bool StrictReader::TakeChunks(std::string& body) {
  std::string_view line;
  while (TakeLine(line)) {
    const std::string_view size_text = line.substr(0, line.find(';'));
    if (!IsMadeOf(size_text, "0123456789abcdefABCDEF") ||
        size_text.size() > 8) {
      return Fail();
    }
    const size_t size = std::stoul(std::string(size_text), nullptr, 16);
    if (size == 0) {
      std::vector<std::string> ignored;
      return TakeFields(ignored, ignored);
    }
    if (text.size() < size + 2) {
      return false;
    }
    if (text.substr(size, 2) != "\r\n") {
      return Fail();
    }
    body += text.substr(0, size);
    text.remove_prefix(size + 2);
  }
  return false;
}

bool StrictReader::IsCertain(const std::vector<std::string>& lengths,
                             const std::vector<std::string>& codings,
                             bool is_old) {
  return lengths.size() + codings.size() <= 1 && (!is_old || codings.empty()) &&
         (codings.empty() || codings[0] == "chunked") &&
         (lengths.empty() || IsMadeOf(lengths[0], "0123456789"));
}

bool StrictReader::TakeBytes(std::string_view length, std::string& body) {
  constexpr size_t kMaxDigits = 18;
  if (length.size() > kMaxDigits) {
    return Fail();
  }
  const size_t size = std::stoul(std::string(length));
  if (text.size() < size) {
    return false;
  }
  body += text.substr(0, size);
  text.remove_prefix(size);
  return true;
}

bool StrictReader::TakeRequest() {
  std::string_view line;
  if (!TakeLine(line)) {
    return false;
  }
  // Bytes before the method make it another one, which the reader does not know
  // better.
  const size_t space = line.find(' ');
  const std::string_view rest =
      space == std::string_view::npos ? "" : line.substr(space);
  const bool is_old = rest == " / HTTP/1.0";
  if ((rest != " / HTTP/1.1" && !is_old) || space == 0 ||
      !std::all_of(line.begin(), line.begin() + static_cast<long>(space),
                   [](unsigned char c) { return std::isalnum(c); })) {
    return Fail();
  }
  std::vector<std::string> lengths;
  std::vector<std::string> codings;
  if (!TakeFields(lengths, codings)) {
    return false;
  }
  if (!IsCertain(lengths, codings, is_old)) {
    return Fail();
  }
  std::string body;
  if (!codings.empty()) {
    return TakeChunks(body);
  }
  return lengths.empty() || TakeBytes(lengths[0], body);
}

std::optional<std::string> StrictReader::TakeReply() {
  refuses_folded_lines = true;
  for (int n = 0; n <= kMaxInterimReplies; ++n) {
    std::string_view line;
    std::vector<std::string> lengths;
    std::vector<std::string> codings;
    if (!TakeLine(line)) {
      return std::nullopt;
    }
    const bool is_old = line.starts_with("HTTP/1.0 ");
    constexpr size_t kStatusAt = 9;
    constexpr size_t kStatusEnd = 12;
    if ((!is_old && !line.starts_with("HTTP/1.1 ")) ||
        line.size() < kStatusEnd ||
        !IsMadeOf(line.substr(kStatusAt, 1), "12345") ||
        !IsMadeOf(line.substr(kStatusAt, 3), "0123456789") ||
        (line.size() > kStatusEnd && line[kStatusEnd] != ' ')) {
      Fail();
      return std::nullopt;
    }
    if (!TakeFields(lengths, codings)) {
      return std::nullopt;
    }
    const std::string_view status = line.substr(kStatusAt, 3);
    if (status[0] == '1' && status != "101") {
      continue;
    }
    if (status == "101" || !IsCertain(lengths, codings, is_old)) {
      Fail();
      return std::nullopt;
    }
    std::string body;
    if (status == "204" || status == "304") {
      return body;
    }
    bool whole = true;
    if (!codings.empty()) {
      whole = TakeChunks(body);
    } else if (!lengths.empty()) {
      whole = TakeBytes(lengths[0], body);
    } else {
      body = std::exchange(text, {});
    }
    return whole ? std::optional(body) : std::nullopt;
  }
  Fail();
  return std::nullopt;
}

}  // namespace gooseberryrock::transport
