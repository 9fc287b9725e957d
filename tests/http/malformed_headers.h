// Headers of replies that are not valid HTTP, for tests of all that reads
// replies.

#ifndef GOOSEBERRYROCK_TESTS_HTTP_MALFORMED_HEADERS_H_
#define GOOSEBERRYROCK_TESTS_HTTP_MALFORMED_HEADERS_H_

#include <string>
#include <vector>

namespace gooseberryrock::http {

// Each consists of whole lines. Valid fields, an empty line and a body may
// follow.
std::vector<std::string> MalformedHeaders();

}  // namespace gooseberryrock::http

#endif  // GOOSEBERRYROCK_TESTS_HTTP_MALFORMED_HEADERS_H_
