// The subcommands of gbrctl that are operator calls.

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

http::HttpCall OperatorCall(const CtlOptions& options,
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

// Reads `reply` into `message`; false when it is truncated or not understood.
bool Decode(const http::HttpReply& reply, google::protobuf::Message& message) {
  try {
    proto::FromJson(reply.body, message, /*ignore_unknown=*/true);
    return true;
  } catch (const proto::MalformedMessageError&) {
    return false;
  }
}

// Any other node may serve a read that this one cannot.
Verdict JudgeRead(const http::HttpReply& reply) {
  return reply.status >= 500 ? Verdict::kNotRun : Verdict::kFinal;
}

Verdict JudgeStatus(proto::CommandStatus status) {
  switch (status) {
    case proto::NOT_RUN:
      return Verdict::kNotRun;
    case proto::OUTCOME_UNKNOWN:
    case proto::COMMAND_STATUS_UNSPECIFIED:
      return Verdict::kMayHaveRun;
    default:
      return Verdict::kFinal;
  }
}

// `Reply` has a status.
template <typename Reply>
Verdict JudgeChange(const http::HttpReply& reply) {
  if (reply.status >= 400 && reply.status < 500) {
    return Verdict::kFinal;
  }
  Reply message;
  if (reply.status != 200 || !Decode(reply, message)) {
    return Verdict::kMayHaveRun;
  }
  return JudgeStatus(message.status());
}

// Makes a read and fills `message`, or prints why there is none.
std::optional<ExitCode> Read(const CtlOptions& options,
                             http::HttpCall call,
                             google::protobuf::Message& message) {
  CallResult result =
      CallNodes(options, {std::move(call), /*safe_to_resend=*/true, JudgeRead});
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
  return Read(options, OperatorCall(options, "GetCatalog", request), reply);
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

// Sends the change in `request` with a command id and the expected version.
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
    if (const auto failed = ReadCatalog(options, catalog)) {
      return *failed;
    }
    request.set_expected_version(catalog.catalog().version());
  }
  std::string more;
  if (!options.expected_version) {
    more = " --expected-version " + std::to_string(request.expected_version());
  }
  request.set_command_id(options.command_id);
  if (options.command_id.empty()) {
    request.set_command_id(NewId(std::chrono::system_clock::now()));
    more += " --command-id " + request.command_id();
  }
  // Printed before sending, so that the operator can send the command again
  // even when this process is killed.
  std::cerr << "command id " << request.command_id() << ", expected version "
            << request.expected_version() << std::endl;
  const CallResult result = CallNodes(
      options, {OperatorCall(options, "SubmitCommand", request),
                /*safe_to_resend=*/true, JudgeChange<proto::CommandReply>});
  if (result.kind != CallResultKind::kReply) {
    return ReportNoResult(result,
                          "resend with: " + ResendCommand(options, more));
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
  if (const auto failed = ReadCatalog(options, reply)) {
    return *failed;
  }
  Print(options, reply, RenderServices(reply));
  return ExitCode::kOk;
}

ExitCode ShowService(const CtlOptions& options, const std::string& name) {
  proto::GetCatalogReply reply;
  if (const auto failed = ReadCatalog(options, reply)) {
    return *failed;
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
  if (const auto failed = ReadCatalog(options, reply)) {
    return *failed;
  }
  Print(options, reply, RenderCatalog(reply));
  return ExitCode::kOk;
}

ExitCode WaitInForce(const CtlOptions& options, uint64_t version) {
  // The node replies when its own wait has ended.
  constexpr Duration kReplyTime = std::chrono::seconds(2);
  proto::WaitInForceRequest request;
  request.set_version(version);
  request.set_timeout_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(options.timeout)
          .count()));
  http::HttpCall call = OperatorCall(options, "WaitInForce", request);
  call.timeout += kReplyTime;
  proto::WaitInForceReply reply;
  if (const auto failed = Read(options, std::move(call), reply)) {
    return *failed;
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
  if (const auto failed =
          Read(options,
               OperatorCall(options, "GetStatus", proto::GetStatusRequest()),
               reply)) {
    return *failed;
  }
  Print(options, reply, RenderStatus(reply));
  return ExitCode::kOk;
}

ExitCode ChangeMembership(const CtlOptions& options,
                          const proto::ChangeMembershipRequest& request) {
  // The call has no command id: no other node is tried once it may have run.
  const CallResult result =
      CallNodes(options, {OperatorCall(options, "ChangeMembership", request),
                          /*safe_to_resend=*/false,
                          JudgeChange<proto::ChangeMembershipReply>});
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
