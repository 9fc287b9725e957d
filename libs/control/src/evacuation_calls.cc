// Operator calls that start or finish the evacuation of a failure domain.

#include "evacuation_calls.h"

#include <chrono>
#include <string>
#include <utility>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/control/control_call.h"
#include "gooseberryrock/control/control_client.h"
#include "gooseberryrock/control/control_codec.h"
#include "gooseberryrock/proto/convert_evacuation.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

namespace {

using telemetry::LogLevel;

// Below the 1 s after which callers retry at another VM.
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);

enum class OrderStatus { kApplied, kTooManyDomains, kCallerGone, kUnclear };

const char* EventOf(OrderStatus status) {
  switch (status) {
    case OrderStatus::kApplied:
      return "evacuation_ordered";
    case OrderStatus::kTooManyDomains:
      return "evacuation_refused";
    case OrderStatus::kCallerGone:
      return "evacuation_dropped";
    case OrderStatus::kUnclear:
      break;
  }
  return "evacuation_unclear";
}

struct OrderOutcome {
  OrderStatus status = OrderStatus::kUnclear;
  uint64_t version = 0;
};

// Reads and sends again while other orders are applied in between. An attempt
// whose reply was lost counts as another order, too.
OrderOutcome Give(const EvacuationCallContext& context,
                  const EvacuateCall& call) {
  const SteadyTime end = BootTime() + kCallTimeout;
  while (BootTime() < end) {
    const auto known = ReadEvacuation(context.client, end - BootTime());
    if (!known) {
      break;
    }
    // The caller may have got another answer since, elsewhere.
    if (context.is_caller_gone()) {
      return {OrderStatus::kCallerGone, known->version};
    }
    proto::ForwardRequest request;
    *request.mutable_evacuation() =
        proto::ToMessage({call.domain, call.action, known->orders});
    const CallResult result =
        context.client.Call(std::move(request), end - BootTime());
    if (result.status != CallStatus::kDone || !result.reply.has_evacuation()) {
      break;
    }
    const proto::EvacuationReply& reply = result.reply.evacuation();
    if (reply.status() == proto::EVACUATION_APPLIED) {
      return {OrderStatus::kApplied, reply.version()};
    }
    if (reply.status() == proto::EVACUATION_TOO_MANY_DOMAINS) {
      return {OrderStatus::kTooManyDomains, reply.version()};
    }
  }
  return {};
}

}  // namespace

std::optional<routes::EvacuatedDomains> ReadEvacuation(ControlClient& client,
                                                       Duration timeout) {
  proto::ForwardRequest request;
  request.mutable_read_evacuation();
  const CallResult result = client.Call(std::move(request), timeout);
  if (result.status != CallStatus::kDone || !result.reply.has_evacuated()) {
    return std::nullopt;
  }
  try {
    return proto::FromMessage(result.reply.evacuated());
  } catch (const proto::MalformedMessageError& e) {
    telemetry::LogEvent(LogLevel::kError, "evacuation_malformed",
                        {{"error", e.what()}});
    return std::nullopt;
  }
}

transport::Response Evacuate(const EvacuationCallContext& context,
                             const EvacuateCall& call) {
  const OrderOutcome outcome = Give(context, call);
  telemetry::LogEvent(
      outcome.status == OrderStatus::kApplied ? LogLevel::kInfo
                                              : LogLevel::kWarning,
      EventOf(outcome.status),
      {{"failure_domain", call.domain.value},
       {"order",
        call.action == routes::EvacuationAction::kStart ? "start" : "finish"},
       {"version", std::to_string(outcome.version)}});
  switch (outcome.status) {
    case OrderStatus::kApplied:
      return context.codec.encode_accepted();
    case OrderStatus::kTooManyDomains:
      return context.codec.encode_invalid(
          "at most " + std::to_string(routes::kMaxEvacuatedDomains) +
          " failure domains can be evacuated");
    case OrderStatus::kCallerGone:
    case OrderStatus::kUnclear:
      break;
  }
  return context.codec.encode_outcome_unknown();
}

}  // namespace gooseberryrock::control
