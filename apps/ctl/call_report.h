// Reports of calls that brought no result, and the operator token.

#ifndef GOOSEBERRYROCK_APPS_CTL_CALL_REPORT_H_
#define GOOSEBERRYROCK_APPS_CTL_CALL_REPORT_H_

#include <string>
#include <string_view>

#include "exit_code.h"

namespace gooseberryrock::http {
struct HttpReply;
}  // namespace gooseberryrock::http

namespace gooseberryrock::ctl {

struct CallResult;
struct CtlOptions;

// The token from --token-file, else from the environment variable
// GBR_OPERATOR_TOKEN. Throws UsageError when there is none.
std::string OperatorToken(const CtlOptions& options);

// Prints why no node gave a result. `resend` tells how to send it again when it
// may have run.
ExitCode ReportNoResult(const CallResult& result, std::string_view resend);

// Prints the error reply of a node.
ExitCode ReportErrorReply(const http::HttpReply& reply);

// The command line with `more` at the end, quoted for a shell.
std::string ResendCommand(const CtlOptions& options, std::string_view more);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_CALL_REPORT_H_
