// Hash of the content of a command, used to detect a command id reused with
// different content.

#ifndef GOOSEBERRYROCK_CATALOG_CONTENT_HASH_H_
#define GOOSEBERRYROCK_CATALOG_CONTENT_HASH_H_

#include <cstdint>

namespace gooseberryrock::catalog {

struct Command;

// Hash of the expected version and the change, without the command id.
uint64_t ContentHash(const Command& command);

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_CONTENT_HASH_H_
