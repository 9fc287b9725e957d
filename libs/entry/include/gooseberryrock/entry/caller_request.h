// Metadata of a caller's request.

#ifndef GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_
#define GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::entry {

struct CallerRequest {
  // Unique for each of the caller's attempts; empty if the caller sent none.
  std::string id;
  std::string host;
  // Time until the caller gives up; without it the route's timeout applies.
  std::optional<Duration> timeout;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_
