// A call of a backend server or an operator on a control VM, decoded.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_CALL_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_CALL_H_

#include <cstdint>
#include <string>
#include <variant>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/directory/server_record.h"

namespace gooseberryrock::control {

// A backend server says that it is there.
struct AnnounceCall {
  directory::ServerRecord record;
};

// A backend server says that it ends.
struct WithdrawCall {
  BackendServerId server;
  // 0 when the server does not say which of its starts it means.
  uint64_t incarnation = 0;
};

// An operator replaces all routes.
struct PutRoutesCall {
  uint64_t version = 0;
  std::string text;
};

struct ReadRoutesCall {};

// The call cannot be read; `error` says why.
struct MalformedCall {
  std::string error;
};

// There is no such call.
struct UnknownCall {};

using ControlCall = std::variant<AnnounceCall,
                                 WithdrawCall,
                                 PutRoutesCall,
                                 ReadRoutesCall,
                                 MalformedCall,
                                 UnknownCall>;

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_CALL_H_
