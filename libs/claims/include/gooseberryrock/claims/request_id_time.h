// The time in the ids of non-idempotent requests.

#ifndef GOOSEBERRYROCK_CLAIMS_REQUEST_ID_TIME_H_
#define GOOSEBERRYROCK_CLAIMS_REQUEST_ID_TIME_H_

#include <cstddef>
#include <optional>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::claims {

inline constexpr size_t kMaxRandomPart = 64;

// The time of an id `<unix milliseconds>-<random>`, or nothing when the id is
// malformed. The random part has 1 to kMaxRandomPart letters, digits, '-' and
// '_'. A time has one spelling only: no sign and no leading zero.
std::optional<WallTime> RequestIdTime(const RequestId& id);

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_REQUEST_ID_TIME_H_
