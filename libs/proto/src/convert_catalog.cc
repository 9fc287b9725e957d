// Conversions between catalog values and their messages.

#include "gooseberryrock/proto/convert_catalog.h"

#include <utility>

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/catalog/command.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "operator.pb.h"

namespace gooseberryrock::proto {

namespace {

RankPolicy ToMessage(const catalog::RankPolicy& policy) {
  RankPolicy message;
  message.set_target_latency_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          policy.target_latency)
          .count()));
  message.set_floor_share(policy.floor_share);
  message.set_hedging(policy.hedging);
  message.set_prefer_coverage(policy.prefer_coverage);
  return message;
}

catalog::RankPolicy FromMessage(const RankPolicy& message) {
  return {std::chrono::milliseconds(message.target_latency_ms()),
          message.floor_share(), message.hedging(), message.prefer_coverage()};
}

CommandStatus ToMessage(catalog::CommandStatus status) {
  switch (status) {
    case catalog::CommandStatus::kAccepted:
      return ACCEPTED;
    case catalog::CommandStatus::kConflict:
      return CONFLICT;
    case catalog::CommandStatus::kInvalid:
      return INVALID;
    case catalog::CommandStatus::kIdReused:
      return ID_REUSED;
  }
  return COMMAND_STATUS_UNSPECIFIED;
}

void SetChange(const catalog::PutService& change, CommandRequest& message) {
  *message.mutable_put_service() = proto::ToMessage(change.service);
}

void SetChange(const catalog::RemoveService& change, CommandRequest& message) {
  message.mutable_remove_service()->set_name(change.name.value);
}

void SetChange(const catalog::SetReservation& change, CommandRequest& message) {
  auto& nodes = *message.mutable_set_reservation()->mutable_nodes();
  for (const auto& [domain, n] : change.nodes) {
    nodes[domain.value] = n;
  }
}

catalog::SetReservation FromMessage(const SetReservation& message) {
  catalog::SetReservation change;
  for (const auto& [domain, n] : message.nodes()) {
    change.nodes[FailureDomain{domain}] = n;
  }
  return change;
}

}  // namespace

ServiceDefinition ToMessage(const catalog::ServiceDefinition& service) {
  ServiceDefinition message;
  message.set_name(service.name.value);
  for (const auto& layout : service.layouts) {
    auto& it = *message.add_layouts();
    it.set_version(layout.version);
    for (const ShardId& shard : layout.shards) {
      it.add_shards(shard.value);
    }
  }
  const auto& policies = service.rank_policies;
  *message.mutable_urgent() = ToMessage(policies[RankIndex(Rank::kUrgent)]);
  *message.mutable_normal() = ToMessage(policies[RankIndex(Rank::kNormal)]);
  *message.mutable_background() =
      ToMessage(policies[RankIndex(Rank::kBackground)]);
  for (const auto& rule : service.rules) {
    auto& it = *message.add_rules();
    it.mutable_selector()->insert(rule.selector.begin(), rule.selector.end());
    it.set_allow(rule.allow);
  }
  message.set_row_limit(service.row_limit);
  return message;
}

catalog::ServiceDefinition FromMessage(const ServiceDefinition& message) {
  catalog::ServiceDefinition service;
  service.name.value = message.name();
  for (const auto& layout : message.layouts()) {
    catalog::ShardLayout& it = service.layouts.emplace_back();
    it.version = layout.version();
    for (const auto& shard : layout.shards()) {
      it.shards.push_back({shard});
    }
  }
  // A rank without a policy in the message keeps the default policy.
  auto& policies = service.rank_policies;
  if (message.has_urgent()) {
    policies[RankIndex(Rank::kUrgent)] = FromMessage(message.urgent());
  }
  if (message.has_normal()) {
    policies[RankIndex(Rank::kNormal)] = FromMessage(message.normal());
  }
  if (message.has_background()) {
    policies[RankIndex(Rank::kBackground)] = FromMessage(message.background());
  }
  for (const auto& rule : message.rules()) {
    service.rules.push_back(
        {{rule.selector().begin(), rule.selector().end()}, rule.allow()});
  }
  if (message.row_limit() != 0) {
    service.row_limit = message.row_limit();
  }
  return service;
}

catalog::Command FromMessage(const CommandRequest& message) {
  if (message.command_id().empty()) {
    throw MalformedMessageError("command_id is missing");
  }
  catalog::Command command;
  command.id.value = message.command_id();
  command.expected_version = message.expected_version();
  switch (message.change_case()) {
    case CommandRequest::kPutService:
      command.change = catalog::PutService{FromMessage(message.put_service())};
      break;
    case CommandRequest::kRemoveService:
      command.change =
          catalog::RemoveService{{message.remove_service().name()}};
      break;
    case CommandRequest::kSetReservation:
      command.change = FromMessage(message.set_reservation());
      break;
    case CommandRequest::CHANGE_NOT_SET:
      throw MalformedMessageError(
          "one of put_service, remove_service and set_reservation must be set");
  }
  return command;
}

CommandRequest ToMessage(const catalog::Command& command) {
  CommandRequest message;
  message.set_command_id(command.id.value);
  message.set_expected_version(command.expected_version);
  std::visit([&](const auto& change) { SetChange(change, message); },
             command.change);
  return message;
}

CommandReply ToMessage(const catalog::CommandOutcome& outcome) {
  CommandReply message;
  message.set_status(ToMessage(outcome.status));
  message.set_version(outcome.version);
  for (const auto& problem : outcome.problems) {
    message.add_problems(problem);
  }
  return message;
}

Catalog ToMessage(const catalog::Catalog& catalog) {
  Catalog message;
  message.set_version(catalog.version);
  for (const auto& [name, service] : catalog.services) {
    *message.add_services() = ToMessage(service);
  }
  for (const auto& [domain, n] : catalog.reserved_nodes) {
    (*message.mutable_reserved_nodes())[domain.value] = n;
  }
  return message;
}

catalog::Catalog FromMessage(const Catalog& message) {
  catalog::Catalog catalog;
  catalog.version = message.version();
  for (const auto& service : message.services()) {
    catalog.services[ServiceName{service.name()}] = FromMessage(service);
  }
  for (const auto& [domain, n] : message.reserved_nodes()) {
    catalog.reserved_nodes[FailureDomain{domain}] = n;
  }
  return catalog;
}

}  // namespace gooseberryrock::proto
