// Refuses requests beyond the allotment of their organisation.

#include "allotment_check.h"

#include "gooseberryrock/allotments/shared_node_allotments.h"
#include "gooseberryrock/entry/caller_request.h"
#include "gooseberryrock/entry/entry_codec.h"
#include "gooseberryrock/organisations/organisation.h"
#include "gooseberryrock/routes/route.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/telemetry/metrics.h"
#include "gooseberryrock/transport/exchange.h"
#include "outcome_log.h"

namespace gooseberryrock::entry {

bool PassesAllotment(const AllotmentCheck& check,
                     transport::Exchange& exchange,
                     const CallerRequest& caller,
                     const routes::Route& route,
                     const organisations::Organisation* organisation,
                     SteadyTime now) {
  if (organisation == nullptr || !organisation->allotment.IsLimited()) {
    return true;
  }
  const allotments::AllotmentDecision decision =
      check.node.Admit(allotments::HashOf(organisation->name), now);
  if (decision.admitted) {
    Increment(check.metrics, telemetry::Counter::kRequestsWithinAllotment);
    return true;
  }
  Increment(check.metrics, telemetry::Counter::kRequestsOverAllotment);
  telemetry::LogEvent(telemetry::LogLevel::kWarning, "request_refused",
                      {{"request", caller.id},
                       {"route", route.name},
                       {"organisation", organisation->name.value},
                       {"reason", "over_allotment"},
                       {"retry_after_ms", Milliseconds(decision.retry_after)}});
  exchange.Respond(check.codec.encode_over_allotment(decision.retry_after));
  return false;
}

}  // namespace gooseberryrock::entry
