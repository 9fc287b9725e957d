// Explains from the nodes' logs how and why a request ended.

#ifndef GOOSEBERRYROCK_APPS_CTL_EXPLAIN_COMMAND_H_
#define GOOSEBERRYROCK_APPS_CTL_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

#include "exit_code.h"

namespace gooseberryrock::ctl {

struct CtlOptions;

// Prints the outcome of the request `request_id`, its lines in the log files
// `files`, and earlier log lines about changes of the servers and services that
// it used. Returns kNotRun when no file names the request. Throws UsageError
// when a file cannot be read.
ExitCode Explain(const CtlOptions& options,
                 const std::string& request_id,
                 const std::vector<std::string>& files);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_EXPLAIN_COMMAND_H_
