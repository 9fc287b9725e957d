// Sends a test query as a caller.

#ifndef GOOSEBERRYROCK_APPS_CTL_QUERY_COMMAND_H_
#define GOOSEBERRYROCK_APPS_CTL_QUERY_COMMAND_H_

#include <cstdint>
#include <string>

#include "exit_code.h"

namespace gooseberryrock::ctl {

struct CtlOptions;

struct QueryArguments {
  std::string service;
  std::string text;
  std::string rank = "normal";
  std::string tenant;
  std::string routing_key;
  // Generated when empty.
  std::string request_id;
  bool non_idempotent = false;
  // 0 means the service's limit.
  uint32_t row_limit = 0;
};

// Sends the query with the timeout of `options` as its deadline and prints the
// answer. A non-idempotent request runs at most once for each id, so it is safe
// to try the other nodes with it as well.
ExitCode Query(const CtlOptions& options, const QueryArguments& arguments);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_QUERY_COMMAND_H_
