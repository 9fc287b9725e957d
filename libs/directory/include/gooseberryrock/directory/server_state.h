// The state that a backend server announces.

#ifndef GOOSEBERRYROCK_DIRECTORY_SERVER_STATE_H_
#define GOOSEBERRYROCK_DIRECTORY_SERVER_STATE_H_

#include <optional>
#include <string_view>

namespace gooseberryrock::directory {

// Within one incarnation a server's state only moves down this list.
enum class ServerState { kStarting, kReady, kDraining, kGone };

// "starting", "ready", "draining" or "gone".
std::string_view ServerStateName(ServerState state);

// The state with the name `name`, or nothing when there is none.
std::optional<ServerState> ParseServerState(std::string_view name);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_SERVER_STATE_H_
