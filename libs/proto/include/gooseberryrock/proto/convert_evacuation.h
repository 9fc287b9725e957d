// Conversions of evacuation orders and evacuated failure domains.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_EVACUATION_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_EVACUATION_H_

#include "gooseberryrock/routes/evacuation.h"

namespace gooseberryrock::proto {

class EvacuatedDomains;
class EvacuationOrder;
class EvacuationReply;

EvacuatedDomains ToMessage(const routes::EvacuatedDomains& evacuated);
// Both throw MalformedMessageError.
routes::EvacuatedDomains FromMessage(const EvacuatedDomains& message);
routes::EvacuationOrder FromMessage(const EvacuationOrder& message);

EvacuationOrder ToMessage(const routes::EvacuationOrder& order);

// `version` is that of the set after the order.
EvacuationReply ToMessage(routes::EvacuationResult result, uint64_t version);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_EVACUATION_H_
