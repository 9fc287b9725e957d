// Conversions of evacuation orders and evacuated failure domains.

#include "gooseberryrock/proto/convert_evacuation.h"

#include <string>

#include "gooseberryrock/catalog/validate.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "peer.pb.h"

namespace gooseberryrock::proto {

namespace {

FailureDomain ReadDomain(const std::string& name) {
  if (!catalog::IsValidName(name)) {
    throw MalformedMessageError("an evacuated failure domain is not a name");
  }
  return {name};
}

}  // namespace

EvacuatedDomains ToMessage(const routes::EvacuatedDomains& evacuated) {
  EvacuatedDomains message;
  message.set_version(evacuated.version);
  message.set_orders(evacuated.orders);
  for (const FailureDomain& it : evacuated.domains) {
    message.add_failure_domains(it.value);
  }
  return message;
}

routes::EvacuatedDomains FromMessage(const EvacuatedDomains& message) {
  routes::EvacuatedDomains evacuated;
  evacuated.version = message.version();
  evacuated.orders = message.orders();
  for (const std::string& it : message.failure_domains()) {
    evacuated.domains.insert(ReadDomain(it));
  }
  return evacuated;
}

routes::EvacuationOrder FromMessage(const EvacuationOrder& message) {
  return {ReadDomain(message.failure_domain()),
          message.start() ? routes::EvacuationAction::kStart
                          : routes::EvacuationAction::kFinish,
          message.orders_before()};
}

EvacuationOrder ToMessage(const routes::EvacuationOrder& order) {
  EvacuationOrder message;
  message.set_failure_domain(order.domain.value);
  message.set_start(order.action == routes::EvacuationAction::kStart);
  message.set_orders_before(order.orders_before);
  return message;
}

EvacuationReply ToMessage(routes::EvacuationResult result, uint64_t version) {
  EvacuationReply message;
  message.set_version(version);
  switch (result) {
    case routes::EvacuationResult::kApplied:
      message.set_status(EVACUATION_APPLIED);
      break;
    case routes::EvacuationResult::kOvertaken:
      message.set_status(EVACUATION_OVERTAKEN);
      break;
    case routes::EvacuationResult::kTooManyDomains:
      message.set_status(EVACUATION_TOO_MANY_DOMAINS);
      break;
  }
  return message;
}

}  // namespace gooseberryrock::proto
