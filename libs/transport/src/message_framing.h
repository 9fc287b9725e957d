// Limits on messages that are read, and a check that their end is certain. The
// parser accepts headers that another reader of the same connection takes
// otherwise.

#ifndef GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_MESSAGE_FRAMING_H_
#define GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_MESSAGE_FRAMING_H_

#include <cstddef>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>

#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::transport {

// Limit of what is parsed as a whole: a header, and in a chunked body a size
// line or the trailer. A peer that never ends one would otherwise fill the
// memory. Beast stores the length of a field in 16 bits and throws on a longer
// one, which would end the process; no such field fits.
constexpr size_t kMaxBufferedBytes = size_t{64} << 10U;

enum class FramingProblem {
  kNone,
  // The length of the body is specified more than once.
  kConflictingLength,
  // HTTP/1.0 has no transfer codings.
  kCodingInOldVersion,
  // The last transfer coding is not `chunked`, so that the length is unknown.
  kUnknownLength,
  // A transfer coding other than `chunked`.
  kUnknownCoding,
  // The method has no body.
  kUnexpectedBody,
};

FramingProblem CheckFraming(
    const boost::beast::http::request_header<>& request);
FramingProblem CheckFraming(
    const boost::beast::http::response_header<>& response);

// Frees the memory of an empty buffer that has grown beyond the size of a usual
// message; there is one for each open connection.
void FreeLargeBuffer(boost::beast::flat_buffer& buffer);

// A word for log lines.
std::string_view FramingProblemName(FramingProblem problem);

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_MESSAGE_FRAMING_H_
