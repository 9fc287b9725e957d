// Reports calls without a result, and reads the operator token.

#include "call_report.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "ctl_options.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "node_calls.h"
#include "operator.pb.h"
#include "usage_error.h"

namespace gooseberryrock::ctl {

namespace {

bool IsShellSafe(const std::string& argument) {
  return !argument.empty() &&
         std::all_of(argument.begin(), argument.end(), [](unsigned char c) {
           return std::isalnum(c) ||
                  std::string_view("-_./:=,@%+").find(static_cast<char>(c)) !=
                      std::string_view::npos;
         });
}

std::string QuoteForShell(const std::string& argument) {
  if (IsShellSafe(argument)) {
    return argument;
  }
  std::string out = "'";
  for (char c : argument) {
    if (c == '\'') {
      out += "'\\''";
    } else {
      out += c;
    }
  }
  return out + "'";
}

}  // namespace

std::string OperatorToken(const CtlOptions& options) {
  std::string token;
  if (!options.token_file.empty()) {
    std::ifstream in(options.token_file);
    if (!std::getline(in, token)) {
      throw UsageError("--token-file " + options.token_file +
                       " cannot be read");
    }
  } else if (const char* value = std::getenv("GBR_OPERATOR_TOKEN")) {
    token = value;
  }
  const bool printable =
      std::all_of(token.begin(), token.end(),
                  [](unsigned char c) { return c > ' ' && c < 0x7f; });
  if (token.empty() || !printable) {
    throw UsageError(
        "the operator token must be one line of printable characters without "
        "spaces; give it by --token-file or GBR_OPERATOR_TOKEN");
  }
  return token;
}

ExitCode ReportNoResult(const CallResult& result, std::string_view resend) {
  const bool may_have_run = result.kind == CallResultKind::kMayHaveRun;
  std::cerr << (may_have_run ? "outcome unknown: it may have run\n"
                             : "not run: no node ran it\n");
  for (const std::string& failure : result.failures) {
    std::cerr << "  " << failure << "\n";
  }
  if (may_have_run) {
    std::cerr << resend << "\n";
    return ExitCode::kOutcomeUnknown;
  }
  return ExitCode::kNotRun;
}

ExitCode ReportErrorReply(const http::HttpReply& reply) {
  proto::ErrorReply error;
  try {
    proto::FromJson(reply.body, error, /*ignore_unknown=*/true);
  } catch (const proto::MalformedMessageError&) {
    error.set_error("reply not understood");
    error.set_message(reply.body);
  }
  std::cerr << error.error() << ": " << error.message() << "\n";
  if (reply.status == 401 || reply.status == 403) {
    return ExitCode::kUnauthorized;
  }
  return reply.status >= 400 && reply.status < 500 ? ExitCode::kInvalid
                                                   : ExitCode::kFailed;
}

std::string ResendCommand(const CtlOptions& options,
                          std::string_view more_arguments) {
  std::string command = "gbrctl";
  for (const std::string& argument : options.arguments) {
    command += " " + QuoteForShell(argument);
  }
  return command + std::string(more_arguments);
}

}  // namespace gooseberryrock::ctl
