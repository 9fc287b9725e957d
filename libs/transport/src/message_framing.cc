// Limits on messages, and checks that the end of one is certain (RFC 9112,
// sections 6.1 and 6.3).

#include "message_framing.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

namespace gooseberryrock::transport {

namespace {

namespace http = boost::beast::http;

constexpr size_t kMaxIdleBufferBytes = size_t{4} << 10U;

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t";
  const size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

bool IsChunked(std::string_view coding) {
  return boost::beast::iequals({coding.data(), coding.size()}, "chunked");
}

// `codings` is the value of the field, a list separated by commas.
FramingProblem CheckCodings(std::string_view codings) {
  const size_t comma = codings.rfind(',');
  const size_t last = comma == std::string_view::npos ? 0 : comma + 1;
  if (!IsChunked(Trim(codings.substr(last)))) {
    return FramingProblem::kUnknownLength;
  }
  if (last == 0) {
    return FramingProblem::kNone;
  }
  // `chunked` may be applied only once.
  std::string_view others = codings.substr(0, comma);
  while (true) {
    const size_t end = others.find(',');
    if (IsChunked(Trim(others.substr(0, end)))) {
      return FramingProblem::kUnknownLength;
    }
    if (end == std::string_view::npos) {
      return FramingProblem::kUnknownCoding;
    }
    others.remove_prefix(end + 1);
  }
}

template <typename Message>
FramingProblem CheckLength(const Message& message) {
  const size_t codings = message.count(http::field::transfer_encoding);
  if (message.count(http::field::content_length) + codings > 1) {
    return FramingProblem::kConflictingLength;
  }
  if (codings == 0) {
    // The parser accepts a list of equal lengths.
    const auto value = message[http::field::content_length];
    return value.find_first_not_of("0123456789") == value.npos
               ? FramingProblem::kNone
               : FramingProblem::kConflictingLength;
  }
  constexpr unsigned kHttp11 = 11;
  if (message.version() != kHttp11) {
    return FramingProblem::kCodingInOldVersion;
  }
  const auto value = message[http::field::transfer_encoding];
  return CheckCodings({value.data(), value.size()});
}

}  // namespace

FramingProblem CheckFraming(const http::request_header<>& request) {
  const bool has_length = request.count(http::field::content_length) +
                              request.count(http::field::transfer_encoding) >
                          0;
  const bool has_no_body = request.method() == http::verb::trace ||
                           request.method() == http::verb::connect;
  if (has_length && has_no_body) {
    return FramingProblem::kUnexpectedBody;
  }
  return CheckLength(request);
}

FramingProblem CheckFraming(const http::response_header<>& response) {
  return CheckLength(response);
}

void FreeLargeBuffer(boost::beast::flat_buffer& buffer) {
  if (buffer.size() == 0 && buffer.capacity() > kMaxIdleBufferBytes) {
    buffer.shrink_to_fit();
  }
}

std::string_view FramingProblemName(FramingProblem problem) {
  switch (problem) {
    case FramingProblem::kNone:
      return "none";
    case FramingProblem::kConflictingLength:
      return "conflicting_length";
    case FramingProblem::kCodingInOldVersion:
      return "coding_in_old_version";
    case FramingProblem::kUnknownLength:
      return "unknown_length";
    case FramingProblem::kUnknownCoding:
      return "unknown_coding";
    case FramingProblem::kUnexpectedBody:
      return "unexpected_body";
  }
  return "unknown";
}

}  // namespace gooseberryrock::transport
