// Hashing with results that are the same in every process and on every VM.

#ifndef GOOSEBERRYROCK_BASE_HASH_H_
#define GOOSEBERRYROCK_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace gooseberryrock {

// Returns the XXH3 hash of `data`. Not resistant to deliberate collisions.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_HASH_H_
