// Why a request ended as it did, from the logs of the nodes.

#ifndef GOOSEBERRYROCK_APPS_CTL_EXPLAIN_COMMAND_H_
#define GOOSEBERRYROCK_APPS_CTL_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

#include "exit_code.h"

namespace gooseberryrock::ctl {

struct CtlOptions;

// Prints how the request `request_id` ended, the lines about it in the log
// files `files`, and what the nodes learned of the servers and services that it
// met in the seconds before. kNotRun when no file names the request. Throws
// UsageError when a file cannot be read.
ExitCode Explain(const CtlOptions& options,
                 const std::string& request_id,
                 const std::vector<std::string>& files);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_EXPLAIN_COMMAND_H_
