// Checks an answer against the guarantees of the system. Expects rows in the
// format of the stand-in backend server: shard/layout/index/server/request
// id/text.

#ifndef GOOSEBERRYROCK_APPS_LOAD_CHECK_ANSWER_H_
#define GOOSEBERRYROCK_APPS_LOAD_CHECK_ANSWER_H_

#include <string>
#include <string_view>
#include <vector>

namespace gooseberryrock::proto {
class QueryAnswer;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::load {

// Returns the problems of `answer` to the request; empty when it is correct.
std::vector<std::string> FindProblems(const proto::QueryAnswer& answer,
                                      std::string_view request_id,
                                      std::string_view text);

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_CHECK_ANSWER_H_
