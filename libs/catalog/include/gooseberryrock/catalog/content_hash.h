// Hash of a command's content, used to recognise a command id that is used
// again with other content.

#ifndef GOOSEBERRYROCK_CATALOG_CONTENT_HASH_H_
#define GOOSEBERRYROCK_CATALOG_CONTENT_HASH_H_

#include <cstdint>

namespace gooseberryrock::catalog {

struct Command;

// Hash of the expected version and the change, without the command id.
uint64_t ContentHash(const Command& command);

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_CONTENT_HASH_H_
