// Options that all subcommands of gbrctl share.

#ifndef GOOSEBERRYROCK_APPS_CTL_CTL_OPTIONS_H_
#define GOOSEBERRYROCK_APPS_CTL_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::ctl {

struct CtlOptions {
  // Addresses of the nodes ("host:port"), tried in this order.
  std::vector<std::string> nodes;
  std::string token_file;
  bool json = false;
  // Timeout of one call to one node.
  Duration timeout = std::chrono::seconds(5);
  // Generated when empty.
  std::string command_id;
  // When unset, the current version is read from a node first.
  std::optional<uint64_t> expected_version;
  // The command line, printed in the hint that tells how to resend a command.
  std::vector<std::string> arguments;
};

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_CTL_OPTIONS_H_
