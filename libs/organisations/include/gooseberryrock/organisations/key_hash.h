// Hashes of the keys of callers. Keys themselves are not kept by entry nodes,
// so that they cannot appear in a log line, a metric or a message.

#ifndef GOOSEBERRYROCK_ORGANISATIONS_KEY_HASH_H_
#define GOOSEBERRYROCK_ORGANISATIONS_KEY_HASH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gooseberryrock::organisations {

inline constexpr size_t kKeyHashBytes = 32;

using KeyHash = std::array<uint8_t, kKeyHashBytes>;

// BLAKE2b of `key`.
KeyHash HashKey(std::string_view key);

// Compares in a time that does not depend on the contents.
bool IsSameKey(const KeyHash& a, const KeyHash& b);

}  // namespace gooseberryrock::organisations

#endif  // GOOSEBERRYROCK_ORGANISATIONS_KEY_HASH_H_
