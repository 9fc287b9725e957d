// Reports calls without a result, and reads the operator token.

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

// Returns the token from --token-file or else from the environment variable
// GBR_OPERATOR_TOKEN. Throws UsageError when there is none or it is invalid.
std::string OperatorToken(const CtlOptions& options);

// Prints why no node returned a result. When the call may have run, also prints
// `resend`, which tells the operator how to resend it.
ExitCode ReportNoResult(const CallResult& result, std::string_view resend);

// Prints the error reply of a node and returns the exit code for it.
ExitCode ReportErrorReply(const http::HttpReply& reply);

// Returns the command line, quoted for a shell, with `more_arguments` appended
// as it is.
std::string ResendCommand(const CtlOptions& options,
                          std::string_view more_arguments);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_CALL_REPORT_H_
