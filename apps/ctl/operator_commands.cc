// Subcommands of gbrctl that make operator calls.

#include "operator_commands.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

#include "call_report.h"
#include "command_id.h"
#include "ctl_options.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "node_calls.h"
#include "operator.pb.h"
#include "render.h"
#include "usage_error.h"

namespace gooseberryrock::ctl {

namespace {

http::HttpCall MakeOperatorCall(const CtlOptions& options,
                                const std::string& name,
                                const google::protobuf::Message& request) {
  http::HttpCall call;
  call.path = "/v1/operator/" + name;
  call.headers = {{"Authorization", "Bearer " + OperatorToken(options)},
                  {"Content-Type", "application/json"}};
  call.body = proto::ToJson(request);
  call.timeout = options.timeout;
  return call;
}

// Decodes `reply` into `message`. Returns false when it is truncated or
// malformed.
bool Decode(const http::HttpReply& reply, google::protobuf::Message& message) {
  try {
    proto::FromJson(reply.body, message, /*ignore_unknown=*/true);
    return true;
  } catch (const proto::MalformedMessageError&) {
    return false;
  }
}

// After a server error, a read can be retried at any other node.
ReplyClass ClassifyReadReply(const http::HttpReply& reply) {
  return reply.status >= 500 ? ReplyClass::kNotRun : ReplyClass::kFinal;
}

ReplyClass ClassifyStatus(proto::CommandStatus status) {
  switch (status) {
    case proto::NOT_RUN:
      return ReplyClass::kNotRun;
    case proto::OUTCOME_UNKNOWN:
    case proto::COMMAND_STATUS_UNSPECIFIED:
      return ReplyClass::kMayHaveRun;
    default:
      return ReplyClass::kFinal;
  }
}

// `Reply` is a message type with a `status` field.
template <typename Reply>
ReplyClass ClassifyChangeReply(const http::HttpReply& reply) {
  if (reply.status >= 400 && reply.status < 500) {
    return ReplyClass::kFinal;
  }
  Reply message;
  if (reply.status != 200 || !Decode(reply, message)) {
    return ReplyClass::kMayHaveRun;
  }
  return ClassifyStatus(message.status());
}

// Makes a read call and decodes the reply into `message`. On failure, prints
// the reason and returns the exit code.
std::optional<ExitCode> ReadFromNodes(const CtlOptions& options,
                                      http::HttpCall call,
                                      google::protobuf::Message& message) {
  CallResult result = CallNodes(
      options, {std::move(call), /*safe_to_resend=*/true, ClassifyReadReply});
  if (result.kind != CallResultKind::kReply) {
    result.kind = CallResultKind::kNotRun;
    return ReportNoResult(result, "");
  }
  if (result.reply.status != 200 || !Decode(result.reply, message)) {
    return ReportErrorReply(result.reply);
  }
  return std::nullopt;
}

std::optional<ExitCode> ReadCatalog(const CtlOptions& options,
                                    proto::GetCatalogReply& reply) {
  proto::GetCatalogRequest request;
  request.set_current(true);
  return ReadFromNodes(options,
                       MakeOperatorCall(options, "GetCatalog", request), reply);
}

void PrintProblems(
    const google::protobuf::RepeatedPtrField<std::string>& problems) {
  for (const std::string& problem : problems) {
    std::cerr << "  " << problem << "\n";
  }
}

void Print(const CtlOptions& options,
           const google::protobuf::Message& reply,
           const std::string& text) {
  std::cout << (options.json ? proto::ToJson(reply) + "\n" : text);
}

ExitCode ReportCommand(const CtlOptions& options,
                       const proto::CommandRequest& request,
                       const proto::CommandReply& reply) {
  Print(options, reply,
        reply.status() == proto::ACCEPTED
            ? "accepted: the catalog is at version " +
                  std::to_string(reply.version()) + "\n"
            : "");
  switch (reply.status()) {
    case proto::ACCEPTED:
      return ExitCode::kOk;
    case proto::CONFLICT:
      std::cerr << "conflict: the catalog is at version " << reply.version()
                << ", expected " << request.expected_version()
                << "; check `gbrctl catalog` and send a new command\n";
      return ExitCode::kConflict;
    case proto::INVALID:
      std::cerr << "invalid:\n";
      PrintProblems(reply.problems());
      return ExitCode::kInvalid;
    case proto::ID_REUSED:
      std::cerr << "command id reused: another command was sent with this id\n";
      return ExitCode::kIdReused;
    default:
      std::cerr << "reply not understood\n";
      return ExitCode::kFailed;
  }
}

// Adds a command id and the expected version to `request` and sends it.
ExitCode SubmitCommand(const CtlOptions& options,
                       proto::CommandRequest& request) {
  if (options.expected_version) {
    request.set_expected_version(*options.expected_version);
  } else if (!options.command_id.empty()) {
    throw UsageError(
        "--command-id needs --expected-version: a resend must be the same "
        "command as before");
  } else {
    proto::GetCatalogReply catalog;
    if (const auto exit_code = ReadCatalog(options, catalog)) {
      return *exit_code;
    }
    request.set_expected_version(catalog.catalog().version());
  }
  std::string more_arguments;
  if (!options.expected_version) {
    more_arguments =
        " --expected-version " + std::to_string(request.expected_version());
  }
  request.set_command_id(options.command_id);
  if (options.command_id.empty()) {
    request.set_command_id(GenerateId(std::chrono::system_clock::now()));
    more_arguments += " --command-id " + request.command_id();
  }
  // Printed before the command is sent, so that the operator can resend it even
  // when this process is killed.
  std::cerr << "command id " << request.command_id() << ", expected version "
            << request.expected_version() << std::endl;
  const CallResult result =
      CallNodes(options, {MakeOperatorCall(options, "SubmitCommand", request),
                          /*safe_to_resend=*/true,
                          ClassifyChangeReply<proto::CommandReply>});
  if (result.kind != CallResultKind::kReply) {
    return ReportNoResult(
        result, "resend with: " + ResendCommand(options, more_arguments));
  }
  proto::CommandReply reply;
  if (result.reply.status != 200 || !Decode(result.reply, reply)) {
    return ReportErrorReply(result.reply);
  }
  return ReportCommand(options, request, reply);
}

std::string ReadFile(const std::string& file) {
  if (file == "-") {
    return {std::istreambuf_iterator<char>(std::cin), {}};
  }
  std::ifstream in(file);
  if (!in) {
    throw UsageError(file + " cannot be read");
  }
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

ExitCode PutService(const CtlOptions& options, const std::string& file) {
  proto::CommandRequest request;
  try {
    const auto json = nlohmann::json::parse(ReadFile(file), /*cb=*/nullptr,
                                            /*allow_exceptions=*/true,
                                            /*ignore_comments=*/true);
    proto::FromJson(json.dump(), *request.mutable_put_service());
  } catch (const nlohmann::json::exception& e) {
    std::cerr << "invalid:\n  " << file << ": " << e.what() << "\n";
    return ExitCode::kInvalid;
  } catch (const proto::MalformedMessageError& e) {
    std::cerr << "invalid:\n  " << file << ": " << e.what() << "\n";
    return ExitCode::kInvalid;
  }
  return SubmitCommand(options, request);
}

ExitCode RemoveService(const CtlOptions& options, const std::string& name) {
  proto::CommandRequest request;
  request.mutable_remove_service()->set_name(name);
  return SubmitCommand(options, request);
}

ExitCode ListServices(const CtlOptions& options) {
  proto::GetCatalogReply reply;
  if (const auto exit_code = ReadCatalog(options, reply)) {
    return *exit_code;
  }
  Print(options, reply, RenderServices(reply));
  return ExitCode::kOk;
}

ExitCode ShowService(const CtlOptions& options, const std::string& name) {
  proto::GetCatalogReply reply;
  if (const auto exit_code = ReadCatalog(options, reply)) {
    return *exit_code;
  }
  for (const auto& service : reply.catalog().services()) {
    if (service.name() == name) {
      Print(options, service, proto::ToIndentedJson(service));
      return ExitCode::kOk;
    }
  }
  std::cerr << "invalid:\n  there is no service '" << name << "'\n";
  return ExitCode::kInvalid;
}

ExitCode SetReservation(const CtlOptions& options,
                        const std::vector<std::string>& nodes) {
  proto::CommandRequest request;
  auto& reservation = *request.mutable_set_reservation()->mutable_nodes();
  for (const std::string& it : nodes) {
    const size_t equals = it.find('=');
    uint32_t n = 0;
    const char* end = it.data() + it.size();
    const bool valid =
        equals != std::string::npos && equals > 0 &&
        std::from_chars(it.data() + equals + 1, end, n).ptr == end &&
        equals + 1 < it.size();
    if (!valid || !reservation.insert({it.substr(0, equals), n}).second) {
      throw UsageError("'" + it +
                       "' is not of the form DOMAIN=N, or names a failure "
                       "domain twice");
    }
  }
  return SubmitCommand(options, request);
}

ExitCode ShowCatalog(const CtlOptions& options) {
  proto::GetCatalogReply reply;
  if (const auto exit_code = ReadCatalog(options, reply)) {
    return *exit_code;
  }
  Print(options, reply, RenderCatalog(reply));
  return ExitCode::kOk;
}

ExitCode WaitInForce(const CtlOptions& options, uint64_t version) {
  // The node replies only when its own wait ends, so the call gets extra time
  // for the reply.
  constexpr Duration kExtraReplyTime = std::chrono::seconds(2);
  proto::WaitInForceRequest request;
  request.set_version(version);
  request.set_timeout_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(options.timeout)
          .count()));
  http::HttpCall call = MakeOperatorCall(options, "WaitInForce", request);
  call.timeout += kExtraReplyTime;
  proto::WaitInForceReply reply;
  if (const auto exit_code = ReadFromNodes(options, std::move(call), reply)) {
    return *exit_code;
  }
  const std::string name = "version " + std::to_string(version);
  std::string text = name + " is in force at all nodes\n";
  if (!reply.in_force()) {
    text = name + " is not in force at:\n";
    for (const std::string& node : reply.lagging_nodes()) {
      text += "  " + node + "\n";
    }
  }
  Print(options, reply, text);
  return reply.in_force() ? ExitCode::kOk : ExitCode::kNotInForce;
}

ExitCode ShowStatus(const CtlOptions& options) {
  proto::GetStatusReply reply;
  if (const auto exit_code = ReadFromNodes(
          options,
          MakeOperatorCall(options, "GetStatus", proto::GetStatusRequest()),
          reply)) {
    return *exit_code;
  }
  Print(options, reply, RenderStatus(reply));
  return ExitCode::kOk;
}

ExitCode ChangeMembership(const CtlOptions& options,
                          const proto::ChangeMembershipRequest& request) {
  // The call has no command id, so a resend could make the change twice: no
  // other node is tried once it may have run.
  const CallResult result = CallNodes(
      options, {MakeOperatorCall(options, "ChangeMembership", request),
                /*safe_to_resend=*/false,
                ClassifyChangeReply<proto::ChangeMembershipReply>});
  if (result.kind != CallResultKind::kReply) {
    return ReportNoResult(
        result,
        "check the members with `gbrctl status` before sending it again");
  }
  proto::ChangeMembershipReply reply;
  if (result.reply.status != 200 || !Decode(result.reply, reply)) {
    return ReportErrorReply(result.reply);
  }
  const bool accepted = reply.status() == proto::ACCEPTED;
  Print(options, reply, accepted ? "accepted\n" : "");
  if (accepted) {
    return ExitCode::kOk;
  }
  const bool conflict = reply.status() == proto::CONFLICT;
  std::cerr << (conflict ? "conflict:\n" : "invalid:\n");
  PrintProblems(reply.problems());
  return conflict ? ExitCode::kConflict : ExitCode::kInvalid;
}

}  // namespace gooseberryrock::ctl
