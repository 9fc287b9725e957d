// Checks an answer against the guarantees of the system.

#include "check_answer.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "caller.pb.h"

namespace gooseberryrock::load {

namespace {

// Splits a row into its six fields; the last one may contain the separator.
std::array<std::string_view, 6> SplitRow(std::string_view row) {
  std::array<std::string_view, 6> fields;
  for (size_t i = 0; i + 1 < fields.size(); ++i) {
    const size_t end = std::min(row.find('/'), row.size());
    fields[i] = row.substr(0, end);
    row.remove_prefix(std::min(end + 1, row.size()));
  }
  fields.back() = row;
  return fields;
}

class AnswerChecker {
 public:
  AnswerChecker(const proto::QueryAnswer& answer,
                std::string_view request_id,
                std::string_view text)
      : answer_(answer), request_id_(request_id), text_(text) {}

  std::vector<std::string> Check() {
    Expect(answer_.request_id() == request_id_, "answer to another request");
    Expect(answer_.end(), "no end marker");
    CheckCoverage();
    CheckRows();
    return std::move(problems_);
  }

 private:
  void Expect(bool condition, const char* problem) {
    if (!condition) {
      problems_.emplace_back(problem);
    }
  }

  bool HasRows() const {
    return answer_.status() == "complete" || answer_.status() == "partial";
  }

  void CheckCoverage() {
    const auto& coverage = answer_.coverage();
    const auto missing = static_cast<uint32_t>(coverage.missing_shards_size());
    missing_.insert(coverage.missing_shards().begin(),
                    coverage.missing_shards().end());
    Expect(missing_.size() == missing, "a missing shard is named twice");
    Expect(coverage.shards_answered() + missing == coverage.shards_total(),
           "coverage does not match the missing shards");
    if (answer_.status() == "complete") {
      Expect(missing == 0 && coverage.shards_total() > 0,
             "complete with missing shards");
    } else if (answer_.status() == "partial") {
      Expect(missing > 0, "partial without missing shards");
    } else {
      Expect(answer_.rows_size() == 0, "rows in an answer without results");
    }
  }

  void CheckRows() {
    std::set<std::string_view> shards;
    for (const std::string& row : answer_.rows()) {
      const auto [shard, layout, index, server, id, text] = SplitRow(row);
      Expect(layout == std::to_string(answer_.layout_version()) &&
                 index == std::to_string(answer_.index_version()),
             "a row of another snapshot");
      Expect(id == request_id_, "a row of another request");
      Expect(text == text_, "a row with another text");
      Expect(shards.insert(shard).second, "rows of one shard twice");
      Expect(!missing_.contains(std::string(shard)),
             "a row of a shard that is named as missing");
    }
    Expect(!HasRows() || shards.size() == answer_.coverage().shards_answered(),
           "the number of rows does not match the coverage");
  }

  const proto::QueryAnswer& answer_;
  const std::string_view request_id_;
  const std::string_view text_;
  std::set<std::string> missing_;
  std::vector<std::string> problems_;
};

}  // namespace

std::vector<std::string> FindProblems(const proto::QueryAnswer& answer,
                                      std::string_view request_id,
                                      std::string_view text) {
  return AnswerChecker(answer, request_id, text).Check();
}

}  // namespace gooseberryrock::load
