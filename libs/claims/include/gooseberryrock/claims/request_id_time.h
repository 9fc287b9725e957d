// Parses the time in the ids of non-idempotent requests.

#ifndef GOOSEBERRYROCK_CLAIMS_REQUEST_ID_TIME_H_
#define GOOSEBERRYROCK_CLAIMS_REQUEST_ID_TIME_H_

#include <cstddef>
#include <optional>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::claims {

inline constexpr size_t kMaxRandomPart = 64;

// Returns the time of an id `<unix milliseconds>-<random>`, or nothing if the
// id is malformed. The random part consists of 1 to kMaxRandomPart letters,
// digits, '-' and '_'. The time has no sign and no leading zero, so that each
// time has only one representation.
std::optional<WallTime> RequestIdTime(const RequestId& id);

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_REQUEST_ID_TIME_H_
