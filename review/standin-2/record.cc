// The record of a case.

#include "record.h"

namespace gooseberryrock::review {

void OpenRecord(Record& record, const std::string& path) {
  record.file = std::fopen(path.c_str(), "we");
}

void CloseRecord(Record& record) {
  std::lock_guard lock(record.mutex);
  if (record.file != nullptr) {
    std::fclose(record.file);
    record.file = nullptr;
  }
}

std::chrono::milliseconds SinceStart(const Record& record) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - record.begin);
}

void Write(Record& record, const std::string& line) {
  std::lock_guard lock(record.mutex);
  if (record.file == nullptr) {
    return;
  }
  std::fprintf(record.file, "%8lld ms  %s\n",
               static_cast<long long>(SinceStart(record).count()),
               line.c_str());
  std::fflush(record.file);
}

}  // namespace gooseberryrock::review
