// Sends a test query as a caller.

#include "query_command.h"

#include <chrono>
#include <iostream>

#include "call_report.h"
#include "caller.pb.h"
#include "command_id.h"
#include "ctl_options.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "node_calls.h"
#include "render.h"

namespace gooseberryrock::ctl {

namespace {

// Extra time after the query's deadline for the reply to arrive.
constexpr Duration kExtraReplyTime = std::chrono::seconds(1);

// Decodes a complete answer. Returns false for an error reply or a truncated
// answer.
bool DecodeAnswer(const http::HttpReply& reply, proto::QueryAnswer& answer) {
  try {
    proto::FromJson(reply.body, answer, /*ignore_unknown=*/true);
  } catch (const proto::MalformedMessageError&) {
    return false;
  }
  return answer.end();
}

ReplyClass ClassifyAnswer(const http::HttpReply& reply) {
  proto::QueryAnswer answer;
  if (DecodeAnswer(reply, answer)) {
    if (answer.status() == "not_run" && reply.status == 503) {
      return ReplyClass::kNotRun;
    }
    return answer.status() == "outcome_unknown" ? ReplyClass::kMayHaveRun
                                                : ReplyClass::kFinal;
  }
  return reply.status >= 400 && reply.status < 500 ? ReplyClass::kFinal
                                                   : ReplyClass::kMayHaveRun;
}

ExitCode ExitCodeOf(const std::string& status) {
  if (status == "complete") {
    return ExitCode::kOk;
  }
  if (status == "partial") {
    return ExitCode::kPartialAnswer;
  }
  if (status == "not_run") {
    return ExitCode::kNotRun;
  }
  return ExitCode::kFailed;
}

http::HttpCall MakeQueryCall(const CtlOptions& options,
                             const QueryArguments& arguments,
                             const std::string& request_id) {
  proto::QueryBody body;
  body.set_text(arguments.text);
  body.set_row_limit(arguments.row_limit);
  const auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(options.timeout);
  http::HttpCall call;
  call.path = "/v1/query/" + arguments.service;
  call.headers = {
      {"Gbr-Request-Id", request_id},
      {"Gbr-Deadline-Ms", std::to_string(deadline.count())},
      {"Gbr-Rank", arguments.rank},
      {"Gbr-Idempotent", arguments.non_idempotent ? "false" : "true"},
      {"Content-Type", "application/json"}};
  if (!arguments.tenant.empty()) {
    call.headers["Gbr-Tenant"] = arguments.tenant;
  }
  if (!arguments.routing_key.empty()) {
    call.headers["Gbr-Routing-Key"] = arguments.routing_key;
  }
  call.body = proto::ToJson(body);
  call.timeout = options.timeout + kExtraReplyTime;
  return call;
}

}  // namespace

ExitCode Query(const CtlOptions& options, const QueryArguments& arguments) {
  std::string request_id = arguments.request_id;
  std::string more_arguments;
  if (request_id.empty()) {
    request_id = GenerateId(std::chrono::system_clock::now());
    more_arguments = " --request-id " + request_id;
  }
  std::cerr << "request id " << request_id << std::endl;
  const CallResult result =
      CallNodes(options, {MakeQueryCall(options, arguments, request_id),
                          /*safe_to_resend=*/true, ClassifyAnswer});
  if (result.kind != CallResultKind::kReply) {
    return ReportNoResult(
        result, "resend with: " + ResendCommand(options, more_arguments));
  }
  proto::QueryAnswer answer;
  if (!DecodeAnswer(result.reply, answer)) {
    return ReportErrorReply(result.reply);
  }
  std::cout << (options.json ? proto::ToJson(answer) + "\n"
                             : RenderAnswer(answer));
  return ExitCodeOf(answer.status());
}

}  // namespace gooseberryrock::ctl
