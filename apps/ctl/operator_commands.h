// The subcommands of gbrctl that are operator calls.

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

// Each prints its result to standard output and what went wrong to standard
// error. They throw UsageError when the arguments cannot be used.

// `file` holds a service definition as JSON with comments; "-" stands for
// standard input.
ExitCode PutService(const CtlOptions& options, const std::string& file);
ExitCode RemoveService(const CtlOptions& options, const std::string& name);
ExitCode ListServices(const CtlOptions& options);
ExitCode ShowService(const CtlOptions& options, const std::string& name);
// Each element has the form DOMAIN=N.
ExitCode SetReservation(const CtlOptions& options,
                        const std::vector<std::string>& nodes);
ExitCode ShowCatalog(const CtlOptions& options);
ExitCode WaitInForce(const CtlOptions& options, uint64_t version);
ExitCode ShowStatus(const CtlOptions& options);
ExitCode ChangeMembership(const CtlOptions& options,
                          const proto::ChangeMembershipRequest& request);

}  // namespace gooseberryrock::ctl

#endif  // GOOSEBERRYROCK_APPS_CTL_OPERATOR_COMMANDS_H_
