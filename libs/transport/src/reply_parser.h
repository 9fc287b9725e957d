// A parser for replies that refuses what the parser of Beast accepts although
// it is not valid HTTP, or has another meaning for other readers.

#ifndef GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_REPLY_PARSER_H_
#define GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_REPLY_PARSER_H_

#include <cstdint>
#include <string>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::transport {

// Refuses status codes outside of 100 to 599 and folded lines (RFC 9110,
// section 15, and RFC 9112, section 5.2), and ignores the fields of trailers.
// Takes memory only for the bytes of a body that have arrived, whatever its
// Content-Length.
class ReplyParser : public boost::beast::http::basic_parser<false> {
 public:
  // The part of the reply that has arrived.
  const Response& get() const { return response_; }
  std::string& body() { return response_.body(); }
  // Moves the reply out of the parser, which cannot be used any more.
  Response Release() { return std::move(response_); }

 private:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

  // Called by the base class; the first one only for requests.
  void on_request_impl(boost::beast::http::verb method,
                       StringView method_text,
                       StringView target,
                       int version,
                       ErrorCode& ec) override;
  void on_response_impl(int status,
                        StringView reason,
                        int version,
                        ErrorCode& ec) override;
  void on_field_impl(boost::beast::http::field field,
                     StringView name,
                     StringView value,
                     ErrorCode& ec) override;
  void on_header_impl(ErrorCode& ec) override;
  void on_body_init_impl(const boost::optional<uint64_t>& length,
                         ErrorCode& ec) override;
  size_t on_body_impl(StringView bytes, ErrorCode& ec) override;
  void on_chunk_header_impl(uint64_t size,
                            StringView extensions,
                            ErrorCode& ec) override;
  size_t on_chunk_body_impl(uint64_t left,
                            StringView bytes,
                            ErrorCode& ec) override;
  void on_finish_impl(ErrorCode& ec) override;

  Response response_;
  // All further fields belong to a trailer.
  bool header_complete_ = false;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_REPLY_PARSER_H_
