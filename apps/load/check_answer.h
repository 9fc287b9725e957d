// Checks of one answer against what the system promises. The rows are those of
// the stand-in backend server: shard/layout/index/server/request id/text.

#ifndef GOOSEBERRYROCK_APPS_LOAD_CHECK_ANSWER_H_
#define GOOSEBERRYROCK_APPS_LOAD_CHECK_ANSWER_H_

#include <string>
#include <string_view>
#include <vector>

namespace gooseberryrock::proto {
class QueryAnswer;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::load {

// What is wrong with `answer` to the request; empty for a right answer.
std::vector<std::string> FindProblems(const proto::QueryAnswer& answer,
                                      std::string_view request_id,
                                      std::string_view text);

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_CHECK_ANSWER_H_
