// Operator calls that start or finish the evacuation of a failure domain.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_EVACUATION_CALLS_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_EVACUATION_CALLS_H_

#include <functional>
#include <optional>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/routes/evacuation.h"
#include "gooseberryrock/transport/http_message.h"

namespace gooseberryrock::control {

class ControlClient;
struct ControlCodec;
struct EvacuateCall;

struct EvacuationCallContext {
  const ControlCodec& codec;
  ControlClient& client;
  // Whether the caller has given up. Thread-safe.
  std::function<bool()> is_caller_gone;
};

// Returns the evacuated domains according to the leader; nullopt if it does not
// answer within `timeout`.
std::optional<routes::EvacuatedDomains> ReadEvacuation(ControlClient& client,
                                                       Duration timeout);

// Gives the order, unless the caller has given up. Blocks on the replicated log
// for up to kCallTimeout.
transport::Response Evacuate(const EvacuationCallContext& context,
                             const EvacuateCall& call);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_EVACUATION_CALLS_H_
