// Hashing that gives the same value in every process and on every VM.

#ifndef GOOSEBERRYROCK_BASE_HASH_H_
#define GOOSEBERRYROCK_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace gooseberryrock {

// XXH3 of `data`. Not safe against deliberate collisions.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_HASH_H_
