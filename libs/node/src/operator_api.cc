// HTTP API for operators.

#include "gooseberryrock/node/operator_api.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gooseberryrock/catalog/command.h"
#include "gooseberryrock/control/control_client.h"
#include "gooseberryrock/control/replicated_log.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/node/caller_api.h"
#include "gooseberryrock/node/catalog_store.h"
#include "gooseberryrock/node/cluster_view.h"
#include "gooseberryrock/node/directory_replica.h"
#include "gooseberryrock/proto/convert_catalog.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::node {

namespace {

// Longer than a leader election, so that a command survives the loss of a
// leader.
constexpr Duration kCommandTimeout = std::chrono::seconds(4);
constexpr Duration kReadTimeout = std::chrono::seconds(2);
constexpr uint32_t kMaxWaitMs = 60000;

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

uint64_t Milliseconds(Duration time) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

template <typename Request, typename Handler>
http::HttpReply HandleJsonCall(const std::string& body,
                               const Handler& handler) {
  Request request;
  proto::FromJson(body.empty() ? "{}" : body, request);
  return {200, "application/json", proto::ToJson(handler(request))};
}

// Compares in a time that does not depend on the position of the first
// difference.
bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  unsigned difference = a.size() == b.size() ? 0 : 1;
  for (size_t i = 0; i < std::min(a.size(), b.size()); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

OperatorApi::OperatorApi(OperatorApiDependencies deps)
    : deps_(std::move(deps)) {}

http::HttpReply OperatorApi::Handle(const http::HttpRequest& request) {
  auto it = request.headers.find("authorization");
  if (it == request.headers.end() ||
      !ConstantTimeEqual(it->second, "Bearer " + deps_.token)) {
    telemetry::Increment(*deps_.metrics,
                         telemetry::Counter::kUnauthorizedRequests);
    return ErrorReply(401, "unauthorized", "the operator token is wrong");
  }
  if (request.method != "POST") {
    return ErrorReply(405, "method_not_allowed",
                      "operator calls are sent by POST");
  }
  if (request.body_too_large) {
    return ErrorReply(413, "body_too_large",
                      "the body is larger than 65536 bytes");
  }
  try {
    return HandleCall(request.path.substr(kOperatorPathPrefix.size()),
                      request.body);
  } catch (const proto::MalformedMessageError& e) {
    return ErrorReply(400, "malformed_message", e.what());
  }
}

http::HttpReply OperatorApi::HandleCall(const std::string& call,
                                        const std::string& body) {
  if (call == "SubmitCommand") {
    return HandleJsonCall<proto::CommandRequest>(
        body, [this](const auto& it) { return SubmitCommand(it); });
  }
  if (call == "GetCatalog") {
    return HandleJsonCall<proto::GetCatalogRequest>(
        body, [this](const auto& it) { return GetCatalog(it); });
  }
  if (call == "WaitInForce") {
    return HandleJsonCall<proto::WaitInForceRequest>(
        body, [this](const auto& it) { return WaitInForce(it); });
  }
  if (call == "GetStatus") {
    return HandleJsonCall<proto::GetStatusRequest>(
        body, [this](const auto& it) { return GetStatus(it); });
  }
  if (call == "ChangeMembership") {
    return HandleJsonCall<proto::ChangeMembershipRequest>(
        body, [this](const auto& it) { return ChangeMembership(it); });
  }
  return ErrorReply(404, "unknown_call", "there is no operator call " + call);
}

proto::CommandReply OperatorApi::SubmitCommand(
    const proto::CommandRequest& request) {
  // Rejects a malformed command before it is appended to the log.
  proto::FromMessage(request);
  proto::CommandReply refused;
  if (const std::string refusal = RefusalReason(request); !refusal.empty()) {
    refused.set_status(proto::NOT_RUN);
    refused.set_version(deps_.catalog->Version());
    refused.add_problems(refusal);
    return refused;
  }
  proto::ForwardRequest call;
  *call.mutable_command() = request;
  control::CallResult result =
      deps_.control->Call(std::move(call), kCommandTimeout);
  const bool accepted = result.status == control::CallStatus::kDone &&
                        result.reply.command().status() == proto::ACCEPTED;
  telemetry::Increment(*deps_.metrics,
                       accepted ? telemetry::Counter::kCommandsAccepted
                                : telemetry::Counter::kCommandsRefused);
  if (result.status == control::CallStatus::kDone) {
    return result.reply.command();
  }
  proto::CommandReply reply;
  reply.set_status(result.status == control::CallStatus::kNotRun
                       ? proto::NOT_RUN
                       : proto::OUTCOME_UNKNOWN);
  reply.set_version(deps_.catalog->Version());
  return reply;
}

// A second change of the reservation before the first is in force on all nodes
// could let the nodes together exceed a connection limit.
std::string OperatorApi::RefusalReason(
    const proto::CommandRequest& request) const {
  if (!request.has_set_reservation()) {
    return "";
  }
  const auto lagging =
      deps_.cluster->WaitForVersion(deps_.catalog->Version(), Now());
  if (lagging.empty()) {
    return "";
  }
  return "node " + lagging.front().value +
         " does not report the present catalog in force; the reservation may "
         "change only when all nodes do";
}

proto::GetCatalogReply OperatorApi::GetCatalog(
    const proto::GetCatalogRequest& request) {
  if (request.current()) {
    proto::ForwardRequest call;
    *call.mutable_read() = request;
    control::CallResult result =
        deps_.control->Call(std::move(call), kReadTimeout);
    if (result.status == control::CallStatus::kDone) {
      return result.reply.catalog();
    }
  }
  proto::GetCatalogReply reply;
  *reply.mutable_catalog() = proto::ToMessage(deps_.catalog->InForce());
  reply.set_current(false);
  if (const auto confirmed_at = deps_.catalog->ConfirmedAt()) {
    reply.set_confirmed(true);
    reply.set_age_ms(Milliseconds(Now() - *confirmed_at));
  }
  return reply;
}

proto::WaitInForceReply OperatorApi::WaitInForce(
    const proto::WaitInForceRequest& request) {
  const auto timeout =
      std::chrono::milliseconds(std::min(request.timeout_ms(), kMaxWaitMs));
  const SteadyTime until = Now() + timeout;
  proto::WaitInForceReply reply;
  if (!deps_.catalog->WaitForVersion(request.version(), until)) {
    reply.add_lagging_nodes(deps_.self.value);
  }
  for (const NodeId& node :
       deps_.cluster->WaitForVersion(request.version(), until)) {
    reply.add_lagging_nodes(node.value);
  }
  reply.set_in_force(reply.lagging_nodes().empty());
  return reply;
}

proto::GetStatusReply OperatorApi::GetStatus(
    const proto::GetStatusRequest& /*request*/) {
  proto::GetStatusReply reply;
  reply.set_node(deps_.self.value);
  reply.set_catalog_version(deps_.catalog->Version());
  AddNodes(reply);
  AddBackendServers(reply);
  AddControl(reply);
  return reply;
}

void OperatorApi::AddNodes(proto::GetStatusReply& reply) const {
  auto& self = *reply.add_nodes();
  self.set_id(deps_.self.value);
  self.set_failure_domain(deps_.failure_domain.value);
  self.set_catalog_version(deps_.catalog->Version());
  self.set_control(deps_.log != nullptr);
  const SteadyTime now = Now();
  for (const auto& [id, view] : deps_.cluster->Peers()) {
    auto& node = *reply.add_nodes();
    node.set_id(id.value);
    node.set_failure_domain(view.failure_domain.value);
    node.set_catalog_version(view.catalog_version);
    node.set_control(view.control);
    node.set_heard(view.last_heartbeat_at.has_value());
    if (view.last_heartbeat_at) {
      node.set_age_ms(Milliseconds(now - *view.last_heartbeat_at));
    }
  }
}

void OperatorApi::AddBackendServers(proto::GetStatusReply& reply) const {
  for (const directory::ServerRecord& record : deps_.directory->Records()) {
    auto& server = *reply.add_backend_servers();
    server.set_id(record.id.value);
    server.set_service(record.service.value);
    server.set_failure_domain(record.failure_domain.value);
    server.set_address(record.host + ":" + std::to_string(record.port));
    server.set_state(std::string(directory::ServerStateName(record.state)));
    server.set_incarnation(record.incarnation);
    server.set_owner(record.owner.value);
  }
}

void OperatorApi::AddControl(proto::GetStatusReply& reply) const {
  if (deps_.log == nullptr) {
    return;
  }
  const control::LogStatus status = deps_.log->Status();
  auto& control = *reply.mutable_control();
  control.set_leader(status.leader.value);
  control.set_term(status.term);
  control.set_commit_index(status.commit_index);
  control.set_storage_id(deps_.log->storage_id());
  control.set_storage_failed(status.storage_failed);
  control.set_suspended(status.suspended);
  for (const auto& [node, member] : status.membership.members) {
    (member.voter ? control.add_voters() : control.add_learners())
        ->assign(node.value);
  }
}

proto::ChangeMembershipReply OperatorApi::ChangeMembership(
    const proto::ChangeMembershipRequest& request) {
  if (request.action() == proto::MEMBERSHIP_ACTION_UNSPECIFIED ||
      request.node().empty()) {
    throw proto::MalformedMessageError("action and node must be set");
  }
  if (request.action() == proto::ADD_LEARNER && request.storage_id().empty()) {
    throw proto::MalformedMessageError(
        "ADD_LEARNER needs the storage_id of the new VM");
  }
  proto::ForwardRequest call;
  *call.mutable_membership() = request;
  control::CallResult result =
      deps_.control->Call(std::move(call), kCommandTimeout);
  if (result.status == control::CallStatus::kDone) {
    return result.reply.membership();
  }
  proto::ChangeMembershipReply reply;
  reply.set_status(result.status == control::CallStatus::kNotRun
                       ? proto::NOT_RUN
                       : proto::OUTCOME_UNKNOWN);
  return reply;
}

}  // namespace gooseberryrock::node
