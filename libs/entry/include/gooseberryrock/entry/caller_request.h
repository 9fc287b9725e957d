// What a request of a caller says of itself.

#ifndef GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_
#define GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::entry {

struct CallerRequest {
  // Unique for each attempt of the caller; empty when it has none.
  std::string id;
  std::string host;
  // How long the caller waits; the route's timeout counts when it is empty.
  std::optional<Duration> patience;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_ENTRY_CALLER_REQUEST_H_
