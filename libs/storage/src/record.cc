// Record format of the files in the data folder.

#include "record.h"

#include <optional>

#include "gooseberryrock/base/hash.h"

namespace gooseberryrock::storage {

namespace {

constexpr size_t kLengthSize = 4;
constexpr size_t kHeaderHashSize = 4;
constexpr size_t kBodyHashSize = 8;

// Little-endian, so that a data folder is portable between architectures.
void PutNumber(std::string& out, uint64_t number, size_t size) {
  for (size_t i = 0; i < size; ++i) {
    out.push_back(static_cast<char>((number >> (8U * i)) & 0xFFU));
  }
}

uint64_t GetNumber(std::string_view data, size_t offset, size_t size) {
  uint64_t number = 0;
  for (size_t i = 0; i < size; ++i) {
    number |= uint64_t{static_cast<unsigned char>(data[offset + i])}
              << (8U * i);
  }
  return number;
}

struct Header {
  uint64_t body_size = 0;
  uint64_t body_hash = 0;
};

uint64_t HeaderHash(const Header& header) {
  std::string fields;
  PutNumber(fields, header.body_size, kLengthSize);
  PutNumber(fields, header.body_hash, kBodyHashSize);
  return Hash64(fields) & 0xFFFFFFFFU;
}

// Returns nullopt if there is no intact header at `offset`. The header has its
// own checksum; otherwise a damaged length could be mistaken for a torn last
// record.
std::optional<Header> ReadHeader(std::string_view content, uint64_t offset) {
  if (content.size() - offset < kRecordHeaderSize) {
    return std::nullopt;
  }
  Header header;
  header.body_size = GetNumber(content, offset, kLengthSize);
  header.body_hash =
      GetNumber(content, offset + kLengthSize + kHeaderHashSize, kBodyHashSize);
  if (GetNumber(content, offset + kLengthSize, kHeaderHashSize) !=
      HeaderHash(header)) {
    return std::nullopt;
  }
  return header;
}

bool IsCompleteRecordAt(std::string_view content, uint64_t offset) {
  const auto header = ReadHeader(content, offset);
  if (!header ||
      content.size() - offset - kRecordHeaderSize < header->body_size) {
    return false;
  }
  return Hash64(content.substr(offset + kRecordHeaderSize,
                               header->body_size)) == header->body_hash;
}

bool AnyCompleteRecordAfter(std::string_view content, uint64_t offset) {
  for (uint64_t i = offset + 1; i + kRecordHeaderSize <= content.size(); ++i) {
    if (IsCompleteRecordAt(content, i)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string EncodeRecord(std::string_view body) {
  const Header header = {body.size(), Hash64(body)};
  std::string record;
  record.reserve(kRecordHeaderSize + body.size());
  PutNumber(record, header.body_size, kLengthSize);
  PutNumber(record, HeaderHash(header), kHeaderHashSize);
  PutNumber(record, header.body_hash, kBodyHashSize);
  record += body;
  return record;
}

ReadRecord ReadRecordAt(std::string_view content, uint64_t offset) {
  const auto header = ReadHeader(content, offset);
  if (!header) {
    return {AnyCompleteRecordAfter(content, offset) ? RecordStatus::kDamaged
                                                    : RecordStatus::kTorn,
            {}};
  }
  const uint64_t rest = content.size() - offset - kRecordHeaderSize;
  if (rest < header->body_size) {
    return {RecordStatus::kTorn, {}};
  }
  if (IsCompleteRecordAt(content, offset)) {
    return {RecordStatus::kComplete,
            content.substr(offset + kRecordHeaderSize, header->body_size)};
  }
  return {
      rest == header->body_size ? RecordStatus::kTorn : RecordStatus::kDamaged,
      {}};
}

}  // namespace gooseberryrock::storage
