// The parts of a gathered request and what has arrived of them.

#ifndef GOOSEBERRYROCK_LIBS_RELAY_SRC_GATHERED_PARTS_H_
#define GOOSEBERRYROCK_LIBS_RELAY_SRC_GATHERED_PARTS_H_

#include <cstddef>

#include "gooseberryrock/relay/outcome.h"

namespace gooseberryrock::relay {

struct RequestPart;
struct RequestState;

// No attempt for the part is left.
void FailPart(RequestState& state, RequestPart& part);

// Number of shards that have answered.
size_t CountAnswered(const RequestState& state);

// Number of shards that have answered or may still do so.
size_t CountAvailable(const RequestState& state);

// Merges what has arrived.
GatheredOutcome MakeGatheredOutcome(const RequestState& state,
                                    bool settled_early);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_LIBS_RELAY_SRC_GATHERED_PARTS_H_
