// Record format of the files in the data folder: a header with the body length
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
  // Write interrupted by a crash: the record is truncated, or it is the last
  // record and does not match its checksum.
  kTorn,
  // Corrupted after it was completely written, since other data follows it.
  kDamaged,
};

struct ReadRecord {
  RecordStatus status = RecordStatus::kTorn;
  // Only for kComplete.
  std::string_view body;
};

std::string EncodeRecord(std::string_view body);

// Decodes the record at `offset` in `content`.
ReadRecord ReadRecordAt(std::string_view content, uint64_t offset);

}  // namespace gooseberryrock::storage

#endif  // GOOSEBERRYROCK_STORAGE_RECORD_H_
