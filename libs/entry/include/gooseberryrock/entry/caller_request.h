// Metadata of a caller's request.

#ifndef GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_
#define GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/organisations/key_hash.h"

namespace gooseberryrock::entry {

struct CallerRequest {
  // Unique for each of the caller's attempts; empty if the caller sent none.
  std::string id;
  std::string host;
  // Time until the caller gives up; without it the route's timeout applies.
  std::optional<Duration> timeout;
  // Of the key that the caller sent; empty if it sent none or several.
  std::optional<organisations::KeyHash> key;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_
