// Replicated state machine of the control VMs: catalog, claims, routes and
// evacuated failure domains.

#ifndef GOOSEBERRYROCK_CONTROL_CONTROL_MACHINE_H_
#define GOOSEBERRYROCK_CONTROL_CONTROL_MACHINE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/claims/claims.h"
#include "gooseberryrock/control/state_machine.h"
#include "gooseberryrock/routes/evacuation.h"

namespace gooseberryrock::control {

// The latest routes document, unmodified.
struct StoredRoutes {
  // 0 if no routes were stored yet.
  uint64_t version = 0;
  std::string compressed_text;
};

// Must only be used on the thread of the replicated log.
struct ControlState {
  catalog::Catalog catalog;
  claims::ClaimsState claims;
  StoredRoutes routes;
  routes::EvacuatedDomains evacuated;
};

// Applies an encoded ControlEntry and returns an encoded ForwardReply. A
// malformed entry has no effect and returns an empty reply.
std::string ApplyEntry(ControlState& state, std::string_view payload);

// Whether an encoded ControlEntry is an order to evacuate a failure domain.
bool IsEvacuationOrder(std::string_view payload);

// Returns the complete state as an encoded ControlSnapshot.
std::string EncodeSnapshot(const ControlState& state);

// Throws MalformedMessageError.
ControlState DecodeSnapshot(std::string_view data);

// Creates a StateMachine that operates on `state`, which must outlive it.
// `on_catalog`, `on_routes` and `on_evacuation` are called after each change of
// the catalog, the routes or the evacuated domains.
StateMachine MakeStateMachine(
    ControlState& state,
    const std::function<void(const catalog::Catalog&)>& on_catalog,
    const std::function<void(const StoredRoutes&)>& on_routes,
    const std::function<void(const routes::EvacuatedDomains&)>& on_evacuation =
        [](const auto& /*evacuated*/) {});

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_CONTROL_MACHINE_H_
