// HTTP API for callers: parsing of queries and rendering of answers.

#ifndef GOOSEBERRYROCK_NODE_CALLER_API_H_
#define GOOSEBERRYROCK_NODE_CALLER_API_H_

#include <string_view>
#include <variant>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_reply.h"
#include "gooseberryrock/query/query_request.h"

namespace gooseberryrock::http {
struct HttpRequest;
}  // namespace gooseberryrock::http

namespace gooseberryrock::query {
struct Answer;
}  // namespace gooseberryrock::query

namespace gooseberryrock::node {

inline constexpr std::string_view kQueryPathPrefix = "/v1/query/";

// Returns the parsed query, or an error reply that names the problem. `now` is
// the arrival time of the request.
std::variant<query::QueryRequest, http::HttpReply> ParseQuery(
    const http::HttpRequest& request,
    SteadyTime now);

http::HttpReply RenderAnswer(const RequestId& request,
                             const query::Answer& answer);

// An error reply with a machine-readable name `error` and a human-readable
// `message`.
http::HttpReply ErrorReply(int status,
                           std::string_view error,
                           std::string_view message);

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_CALLER_API_H_
