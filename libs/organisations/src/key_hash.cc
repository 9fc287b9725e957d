// Hashes of the keys of callers.

#include "gooseberryrock/organisations/key_hash.h"

#include <sodium.h>

namespace gooseberryrock::organisations {

KeyHash HashKey(std::string_view key) {
  KeyHash hash = {};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), nullptr, 0);
  return hash;
}

bool IsSameKey(const KeyHash& a, const KeyHash& b) {
  return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace gooseberryrock::organisations
