// A call through a backend channel to a server that sends bytes without end.

#ifndef GOOSEBERRYROCK_TESTS_HTTP_ENDLESS_REPLY_H_
#define GOOSEBERRYROCK_TESTS_HTTP_ENDLESS_REPLY_H_

#include <cstddef>
#include <string>

namespace gooseberryrock::http {

// More than the socket buffers of both ends and the largest reply.
inline constexpr size_t kMaxSent = size_t{64} << 20U;

// Returns the number of bytes that a server which sends `start`, and then
// `repeated` again and again, gets rid of during one call, up to about
// kMaxSent.
size_t BytesTaken(const std::string& start, const std::string& repeated);

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_TESTS_HTTP_ENDLESS_REPLY_H_
