// States of a backend server.

#ifndef GOOSEBERRYROCK_DIRECTORY_SERVER_STATE_H_
#define GOOSEBERRYROCK_DIRECTORY_SERVER_STATE_H_

#include <optional>
#include <string_view>

namespace gooseberryrock::directory {

// Within one incarnation, the state only advances in this order.
enum class ServerState { kStarting, kReady, kDraining, kGone };

// "starting", "ready", "draining" or "gone".
std::string_view ServerStateName(ServerState state);

// Returns the state with the given name, or nothing if the name is unknown.
std::optional<ServerState> ParseServerState(std::string_view name);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_SERVER_STATE_H_
