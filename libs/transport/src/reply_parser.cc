// A parser for replies.

#include "reply_parser.h"

#include <boost/beast/http/error.hpp>

namespace gooseberryrock::transport {

namespace http = boost::beast::http;

namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

// Whether the line after the one of the field continues it. `name` must be a
// part of the parser's input: the parser reports a field only when its input
// has the byte after the end of the line, and passes on folded lines as one.
bool IsFolded(boost::beast::string_view name) {
  const char* it = name.data() + name.size();
  while (*it != '\r') {
    ++it;
  }
  constexpr size_t kLineEndBytes = 2;
  const char next = it[kLineEndBytes];
  return next == ' ' || next == '\t';
}

}  // namespace

void ReplyParser::on_request_impl(http::verb /*method*/,
                                  StringView /*method_text*/,
                                  StringView /*target*/,
                                  int /*version*/,
                                  ErrorCode& /*ec*/) {}

void ReplyParser::on_response_impl(int status,
                                   StringView reason,
                                   int version,
                                   ErrorCode& ec) {
  if (status < kMinStatus || status > kMaxStatus) {
    ec = http::error::bad_status;
    return;
  }
  response_.result(static_cast<unsigned>(status));
  response_.reason(reason);
  response_.version(static_cast<unsigned>(version));
}

void ReplyParser::on_field_impl(http::field field,
                                StringView name,
                                StringView value,
                                ErrorCode& ec) {
  if (IsFolded(name)) {
    ec = http::error::bad_value;
  } else if (!header_complete_) {
    response_.insert(field, name, value);
  }
}

void ReplyParser::on_header_impl(ErrorCode& /*ec*/) {
  header_complete_ = true;
}

void ReplyParser::on_body_init_impl(const boost::optional<uint64_t>& /*length*/,
                                    ErrorCode& /*ec*/) {}

size_t ReplyParser::on_body_impl(StringView bytes, ErrorCode& /*ec*/) {
  response_.body().append(bytes.data(), bytes.size());
  return bytes.size();
}

void ReplyParser::on_chunk_header_impl(uint64_t /*size*/,
                                       StringView /*extensions*/,
                                       ErrorCode& /*ec*/) {}

size_t ReplyParser::on_chunk_body_impl(uint64_t /*left*/,
                                       StringView bytes,
                                       ErrorCode& ec) {
  return on_body_impl(bytes, ec);
}

void ReplyParser::on_finish_impl(ErrorCode& /*ec*/) {}

}  // namespace gooseberryrock::transport
