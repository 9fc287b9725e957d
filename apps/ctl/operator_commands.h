// Subcommands of gbrctl that make operator calls.

#ifndef GOOSEBERRYROCK_APPS_CTL_OPERATOR_COMMANDS_H_
#define GOOSEBERRYROCK_APPS_CTL_OPERATOR_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "exit_code.h"

namespace gooseberryrock::proto {
class ChangeMembershipRequest;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::ctl {

struct CtlOptions;

// Each command prints its result to standard output and errors to standard
// error, and throws UsageError when the arguments are invalid.

// `file` contains a service definition as JSON, which may contain comments; "-"
// means standard input.
ExitCode PutService(const CtlOptions& options, const std::string& file);
ExitCode RemoveService(const CtlOptions& options, const std::string& name);
ExitCode ListServices(const CtlOptions& options);
ExitCode ShowService(const CtlOptions& options, const std::string& name);
// Each element of `nodes` has the form DOMAIN=N.
ExitCode SetReservation(const CtlOptions& options,
                        const std::vector<std::string>& nodes);
ExitCode ShowCatalog(const CtlOptions& options);
ExitCode WaitInForce(const CtlOptions& options, uint64_t version);
ExitCode ShowStatus(const CtlOptions& options);
ExitCode ChangeMembership(const CtlOptions& options,
                          const proto::ChangeMembershipRequest& request);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_OPERATOR_COMMANDS_H_
