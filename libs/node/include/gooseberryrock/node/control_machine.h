// The state machine of the replicated log: the catalog and the claims.

#ifndef GOOSEBERRYROCK_NODE_CONTROL_MACHINE_H_
#define GOOSEBERRYROCK_NODE_CONTROL_MACHINE_H_

#include <functional>
#include <string>
#include <string_view>

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/claims/claims.h"
#include "gooseberryrock/node/state_machine.h"

namespace gooseberryrock::node {

// Used on the thread of the replicated log only.
struct ControlState {
  catalog::Catalog catalog;
  claims::ClaimsState claims;
};

// Applies an encoded ControlEntry and returns an encoded ForwardReply. An entry
// that cannot be decoded changes nothing and returns an empty reply.
std::string ApplyEntry(ControlState& state, std::string_view payload);

// The whole state as an encoded ControlSnapshot.
std::string EncodeSnapshot(const ControlState& state);

// Throws MalformedMessageError.
ControlState DecodeSnapshot(std::string_view data);

// The functions above over `state`, which must outlive the result. `on_catalog`
// is called after each change of the catalog.
StateMachine MakeStateMachine(
    ControlState& state,
    const std::function<void(const catalog::Catalog&)>& on_catalog);

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_CONTROL_MACHINE_H_
