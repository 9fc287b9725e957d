// The record of a case: one line for each thing that was done or seen, with the
// time since the start in milliseconds.

#ifndef GOOSEBERRYROCK_REVIEW_STANDIN_2_RECORD_H_
#define GOOSEBERRYROCK_REVIEW_STANDIN_2_RECORD_H_

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace gooseberryrock::review {

struct Record {
  std::mutex mutex;
  std::FILE* file = nullptr;
  std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
};

void OpenRecord(Record& record, const std::string& path);
void CloseRecord(Record& record);
std::chrono::milliseconds SinceStart(const Record& record);
void Write(Record& record, const std::string& line);

}  // namespace gooseberryrock::review

#endif  // GOOSEBERRYROCK_REVIEW_STANDIN_2_RECORD_H_
