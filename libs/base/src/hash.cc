// Hashing with xxHash.

#include "gooseberryrock/base/hash.h"

#include <xxhash.h>

namespace gooseberryrock {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

}  // namespace gooseberryrock
