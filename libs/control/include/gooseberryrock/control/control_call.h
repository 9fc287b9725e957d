// Decoded API calls that backend servers and operators make to a control VM.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_CALL_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_CALL_H_

#include <cstdint>
#include <string>
#include <variant>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/routes/evacuation.h"

namespace gooseberryrock::control {

// A backend server announces itself.
struct AnnounceCall {
  directory::ServerRecord record;
};

// A backend server withdraws its announcement because it shuts down.
struct WithdrawCall {
  BackendServerId server;
  // Incarnation of the server that withdraws; 0 if not specified.
  uint64_t incarnation = 0;
};

// An operator replaces all routes.
struct PutRoutesCall {
  uint64_t version = 0;
  std::string text;
};

struct ReadRoutesCall {};

// An operator starts or finishes the evacuation of a failure domain.
struct EvacuateCall {
  FailureDomain domain;
  routes::EvacuationAction action = routes::EvacuationAction::kStart;
};

// The call cannot be decoded; `error` is the reason.
struct MalformedCall {
  std::string error;
};

// The call is not part of the API.
struct UnknownCall {};

using ControlCall = std::variant<AnnounceCall,
                                 WithdrawCall,
                                 PutRoutesCall,
                                 ReadRoutesCall,
                                 EvacuateCall,
                                 MalformedCall,
                                 UnknownCall>;

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_CALL_H_
