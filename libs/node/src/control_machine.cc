// The state machine of the replicated log.

#include "gooseberryrock/node/control_machine.h"

#include <chrono>
#include <utility>

#include "control.pb.h"
#include "gooseberryrock/catalog/apply_command.h"
#include "gooseberryrock/catalog/command.h"
#include "gooseberryrock/proto/convert_catalog.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "peer.pb.h"

namespace gooseberryrock::node {

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

proto::ClaimStatus ToMessage(claims::ClaimStatus status) {
  switch (status) {
    case claims::ClaimStatus::kGranted:
      return proto::CLAIM_GRANTED;
    case claims::ClaimStatus::kAlreadyClaimed:
      return proto::CLAIM_ALREADY;
    case claims::ClaimStatus::kIdReused:
      return proto::CLAIM_ID_REUSED;
    case claims::ClaimStatus::kIdExpired:
      return proto::CLAIM_ID_EXPIRED;
    case claims::ClaimStatus::kIdMalformed:
      return proto::CLAIM_ID_MALFORMED;
    case claims::ClaimStatus::kTooManyClaims:
      return proto::CLAIM_OVERLOADED;
  }
  return proto::CLAIM_STATUS_UNSPECIFIED;
}

proto::RecordStatus ToMessage(claims::RecordStatus status) {
  switch (status) {
    case claims::RecordStatus::kDone:
      return proto::RECORD_DONE;
    case claims::RecordStatus::kNoClaim:
      return proto::RECORD_NO_CLAIM;
    case claims::RecordStatus::kNotHolder:
      return proto::RECORD_NOT_HOLDER;
    case claims::RecordStatus::kHasOutcome:
      return proto::RECORD_HAS_OUTCOME;
    case claims::RecordStatus::kTooLarge:
      return proto::RECORD_TOO_LARGE;
  }
  return proto::RECORD_STATUS_UNSPECIFIED;
}

template <typename Message>
claims::ClaimHolder HolderOf(const Message& message) {
  return {{message.node()}, message.node_incarnation()};
}

proto::ClaimReply Apply(ControlState& state,
                        const proto::ClaimRequest& request,
                        WallTime leader_time) {
  const auto result = claims::ApplyClaim(state.claims, {{request.request_id()},
                                                        request.content_hash(),
                                                        HolderOf(request),
                                                        leader_time});
  proto::ClaimReply reply;
  reply.set_status(ToMessage(result.status));
  reply.set_holder(result.holder.node.value);
  reply.set_holder_incarnation(result.holder.incarnation);
  if (result.outcome) {
    reply.set_has_outcome(true);
    reply.set_outcome(*result.outcome);
  }
  return reply;
}

proto::RecordReply Apply(ControlState& state,
                         const proto::OutcomeRequest& request,
                         WallTime leader_time) {
  proto::RecordReply reply;
  reply.set_status(
      ToMessage(claims::ApplyOutcome(state.claims, {{request.request_id()},
                                                    HolderOf(request),
                                                    request.outcome(),
                                                    leader_time})));
  return reply;
}

proto::RecordReply Apply(ControlState& state,
                         const proto::ReleaseRequest& request,
                         WallTime leader_time) {
  proto::RecordReply reply;
  reply.set_status(ToMessage(claims::ApplyRelease(
      state.claims, {{request.request_id()}, HolderOf(request), leader_time})));
  return reply;
}

proto::CommandReply Apply(ControlState& state,
                          const proto::CommandRequest& request) {
  return proto::ToMessage(
      catalog::ApplyCommand(state.catalog, proto::FromMessage(request)));
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
    message.set_node(claim.holder.node.value);
    message.set_node_incarnation(claim.holder.incarnation);
    if (claim.outcome) {
      message.set_has_outcome(true);
      message.set_outcome(*claim.outcome);
    }
  }
}

claims::Claim FromMessage(const proto::RememberedClaim& message) {
  claims::Claim claim;
  claim.content_hash = message.content_hash();
  claim.holder = HolderOf(message);
  if (message.has_outcome()) {
    claim.outcome = message.outcome();
  }
  return claim;
}

}  // namespace

std::string ApplyEntry(ControlState& state, std::string_view payload) {
  proto::ControlEntry entry;
  if (!entry.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    return "";
  }
  try {
    return Apply(state, entry).SerializeAsString();
  } catch (const proto::MalformedMessageError&) {
    return "";
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
  return snapshot.SerializeAsString();
}

ControlState DecodeSnapshot(std::string_view data) {
  proto::ControlSnapshot snapshot;
  if (!snapshot.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
    throw proto::MalformedMessageError("not a valid ControlSnapshot");
  }
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
  return state;
}

StateMachine MakeStateMachine(
    ControlState& state,
    std::function<void(const catalog::Catalog&)> on_catalog) {
  StateMachine machine;
  machine.apply = [&state, on_catalog](std::string_view payload) {
    const uint64_t version = state.catalog.version;
    std::string reply = ApplyEntry(state, payload);
    if (state.catalog.version != version) {
      on_catalog(state.catalog);
    }
    return reply;
  };
  machine.snapshot = [&state] { return EncodeSnapshot(state); };
  machine.restore = [&state, on_catalog](std::string_view data) {
    state = DecodeSnapshot(data);
    on_catalog(state.catalog);
  };
  return machine;
}

}  // namespace gooseberryrock::node
