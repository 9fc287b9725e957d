// Replicated state machine of the control VMs.

#include "gooseberryrock/control/control_machine.h"

#include <chrono>
#include <utility>

#include "control.pb.h"
#include "gooseberryrock/catalog/apply_command.h"
#include "gooseberryrock/catalog/command.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_catalog.h"
#include "gooseberryrock/proto/convert_claims.h"
#include "gooseberryrock/proto/convert_evacuation.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

namespace {

WallTime ToWallTime(uint64_t ms) {
  return WallTime(std::chrono::milliseconds(ms));
}

uint64_t FromWallTime(WallTime time) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count());
}

proto::ClaimReply Apply(ControlState& state,
                        const proto::ClaimRequest& request,
                        WallTime leader_time) {
  claims::ClaimEntry entry = proto::FromMessage(request);
  entry.leader_time = leader_time;
  return proto::ToMessage(claims::ApplyClaim(state.claims, entry));
}

proto::RecordReply Apply(ControlState& state,
                         const proto::OutcomeRequest& request,
                         WallTime leader_time) {
  claims::OutcomeEntry entry = proto::FromMessage(request);
  entry.leader_time = leader_time;
  return proto::ToMessage(claims::ApplyOutcome(state.claims, entry));
}

proto::RecordReply Apply(ControlState& state,
                         const proto::ReleaseRequest& request,
                         WallTime leader_time) {
  claims::ReleaseEntry entry = proto::FromMessage(request);
  entry.leader_time = leader_time;
  return proto::ToMessage(claims::ApplyRelease(state.claims, entry));
}

proto::CommandReply Apply(ControlState& state,
                          const proto::CommandRequest& request) {
  return proto::ToMessage(
      catalog::ApplyCommand(state.catalog, proto::FromMessage(request)));
}

// The highest version wins. An equal or lower version is accepted without
// effect so that resent or reordered calls succeed.
proto::PutRoutesReply Apply(ControlState& state,
                            const proto::PutRoutesRequest& request) {
  const proto::RouteDocument& document = request.document();
  if (document.version() > state.routes.version) {
    state.routes = {document.version(), document.compressed_text()};
  }
  proto::PutRoutesReply reply;
  reply.set_version(state.routes.version);
  return reply;
}

proto::EvacuationReply Apply(ControlState& state,
                             const proto::EvacuationOrder& order) {
  const auto result =
      routes::ApplyOrder(state.evacuated, proto::FromMessage(order));
  return proto::ToMessage(result, state.evacuated.version);
}

proto::ForwardReply Apply(ControlState& state,
                          const proto::ControlEntry& entry) {
  const WallTime leader_time = ToWallTime(entry.leader_wall_ms());
  proto::ForwardReply reply;
  switch (entry.call_case()) {
    case proto::ControlEntry::kCommand:
      *reply.mutable_command() = Apply(state, entry.command());
      break;
    case proto::ControlEntry::kClaim:
      *reply.mutable_claim() = Apply(state, entry.claim(), leader_time);
      break;
    case proto::ControlEntry::kOutcome:
      *reply.mutable_record() = Apply(state, entry.outcome(), leader_time);
      break;
    case proto::ControlEntry::kRelease:
      *reply.mutable_record() = Apply(state, entry.release(), leader_time);
      break;
    case proto::ControlEntry::kPutRoutes:
      *reply.mutable_put_routes() = Apply(state, entry.put_routes());
      break;
    case proto::ControlEntry::kEvacuation:
      *reply.mutable_evacuation() = Apply(state, entry.evacuation());
      break;
    case proto::ControlEntry::CALL_NOT_SET:
      break;
  }
  return reply;
}

catalog::CommandOutcome FromMessage(const proto::CommandReply& message) {
  catalog::CommandOutcome outcome;
  switch (message.status()) {
    case proto::ACCEPTED:
      outcome.status = catalog::CommandStatus::kAccepted;
      break;
    case proto::CONFLICT:
      outcome.status = catalog::CommandStatus::kConflict;
      break;
    default:
      outcome.status = catalog::CommandStatus::kInvalid;
      break;
  }
  outcome.version = message.version();
  outcome.problems.assign(message.problems().begin(), message.problems().end());
  return outcome;
}

void AddClaims(const claims::ClaimsState& claims,
               proto::ControlSnapshot& snapshot) {
  for (const auto& [time, id] : claims.by_time) {
    const claims::Claim& claim = claims.claims.at(id);
    auto& message = *snapshot.add_claims();
    message.set_request_id(id.value);
    message.set_content_hash(claim.content_hash);
    message.mutable_holder()->set_node(claim.holder.node.value);
    message.mutable_holder()->set_incarnation(claim.holder.incarnation);
    message.mutable_holder()->set_attempt(claim.holder.attempt);
    if (claim.outcome) {
      message.set_outcome(*claim.outcome);
    }
  }
}

claims::Claim FromMessage(const proto::RememberedClaim& message) {
  claims::Claim claim;
  claim.content_hash = message.content_hash();
  claim.holder = {{message.holder().node()},
                  message.holder().incarnation(),
                  message.holder().attempt()};
  if (message.has_outcome()) {
    claim.outcome = message.outcome();
  }
  return claim;
}

}  // namespace

std::string ApplyEntry(ControlState& state, std::string_view payload) {
  try {
    return Apply(state, proto::Parse<proto::ControlEntry>(payload))
        .SerializeAsString();
  } catch (const proto::MalformedMessageError&) {
    return "";
  }
}

bool IsEvacuationOrder(std::string_view payload) {
  try {
    return proto::Parse<proto::ControlEntry>(payload).has_evacuation();
  } catch (const proto::MalformedMessageError&) {
    return false;
  }
}

std::string EncodeSnapshot(const ControlState& state) {
  proto::ControlSnapshot snapshot;
  *snapshot.mutable_catalog() = proto::ToMessage(state.catalog);
  for (const catalog::RememberedCommand& command : state.catalog.remembered) {
    auto& message = *snapshot.add_remembered();
    message.set_id(command.id.value);
    message.set_content_hash(command.content_hash);
    *message.mutable_outcome() = proto::ToMessage(command.outcome);
  }
  AddClaims(state.claims, snapshot);
  snapshot.set_log_time_ms(FromWallTime(state.claims.log_time));
  snapshot.mutable_routes()->set_version(state.routes.version);
  snapshot.mutable_routes()->set_compressed_text(state.routes.compressed_text);
  *snapshot.mutable_evacuated() = proto::ToMessage(state.evacuated);
  return snapshot.SerializeAsString();
}

ControlState DecodeSnapshot(std::string_view data) {
  const auto snapshot = proto::Parse<proto::ControlSnapshot>(data);
  ControlState state;
  state.catalog = proto::FromMessage(snapshot.catalog());
  for (const auto& command : snapshot.remembered()) {
    catalog::RememberCommand(state.catalog, {{command.id()},
                                             command.content_hash(),
                                             FromMessage(command.outcome())});
  }
  for (const auto& claim : snapshot.claims()) {
    claims::RestoreClaim(state.claims, {claim.request_id()},
                         FromMessage(claim));
  }
  state.claims.log_time = ToWallTime(snapshot.log_time_ms());
  state.routes = {snapshot.routes().version(),
                  snapshot.routes().compressed_text()};
  state.evacuated = proto::FromMessage(snapshot.evacuated());
  return state;
}

StateMachine MakeStateMachine(
    ControlState& state,
    const std::function<void(const catalog::Catalog&)>& on_catalog,
    const std::function<void(const StoredRoutes&)>& on_routes,
    const std::function<void(const routes::EvacuatedDomains&)>& on_evacuation) {
  StateMachine machine;
  machine.apply = [&state, on_catalog, on_routes,
                   on_evacuation](std::string_view payload) {
    const uint64_t version = state.catalog.version;
    const uint64_t routes_version = state.routes.version;
    const uint64_t evacuation_version = state.evacuated.version;
    std::string reply = ApplyEntry(state, payload);
    if (state.catalog.version != version) {
      on_catalog(state.catalog);
    }
    if (state.routes.version != routes_version) {
      on_routes(state.routes);
    }
    if (state.evacuated.version != evacuation_version) {
      on_evacuation(state.evacuated);
    }
    return reply;
  };
  machine.snapshot = [&state] { return EncodeSnapshot(state); };
  machine.reset = [&state] { state = {}; };
  machine.restore = [&state, on_catalog, on_routes,
                     on_evacuation](std::string_view data) {
    state = DecodeSnapshot(data);
    on_catalog(state.catalog);
    on_routes(state.routes);
    on_evacuation(state.evacuated);
  };
  return machine;
}

}  // namespace gooseberryrock::control
