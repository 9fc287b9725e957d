// Records of the files in the data folder: a header with the length of the body
// and checksums of header and body, followed by the body.

#ifndef GOOSEBERRYROCK_STORAGE_RECORD_H_
#define GOOSEBERRYROCK_STORAGE_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberryrock::storage {

inline constexpr size_t kRecordHeaderSize = 16;

enum class RecordStatus {
  kComplete,
  // The content ends within the record, or the record ends the content and
  // does not match its checksum: a write that a crash interrupted.
  kTorn,
  // The record was complete once, because more was written after it.
  kDamaged,
};

struct ReadRecord {
  RecordStatus status = RecordStatus::kTorn;
  // Only for kComplete.
  std::string_view body;
};

std::string EncodeRecord(std::string_view body);

// Reads the record at `offset` of `content`.
ReadRecord ReadRecordAt(std::string_view content, uint64_t offset);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_RECORD_H_
