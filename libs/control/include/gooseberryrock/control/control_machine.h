// The state machine of the replicated log: the catalog and the claims.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_MACHINE_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_MACHINE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/claims/claims.h"
#include "gooseberryrock/control/state_machine.h"

namespace gooseberryrock::control {

// The newest set of routes, as its sender wrote it.
struct StoredRoutes {
  // 0 when none was ever put.
  uint64_t version = 0;
  std::string compressed_text;
};

// Used on the thread of the replicated log only.
struct ControlState {
  catalog::Catalog catalog;
  claims::ClaimsState claims;
  StoredRoutes routes;
};

// Applies an encoded ControlEntry and returns an encoded ForwardReply. An entry
// that cannot be decoded changes nothing and returns an empty reply.
std::string ApplyEntry(ControlState& state, std::string_view payload);

// The whole state as an encoded ControlSnapshot.
std::string EncodeSnapshot(const ControlState& state);

// Throws MalformedMessageError.
ControlState DecodeSnapshot(std::string_view data);

// The functions above over `state`, which must outlive the result. `on_catalog`
// and `on_routes` are called after each change of the catalog or the routes.
StateMachine MakeStateMachine(
    ControlState& state,
    const std::function<void(const catalog::Catalog&)>& on_catalog,
    const std::function<void(const StoredRoutes&)>& on_routes);

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_MACHINE_H_
