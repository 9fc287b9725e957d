// Names of server states.

#include "gooseberryrock/directory/server_state.h"

namespace gooseberryrock::directory {

std::string_view ServerStateName(ServerState state) {
  switch (state) {
    case ServerState::kStarting:
      return "starting";
    case ServerState::kReady:
      return "ready";
    case ServerState::kDraining:
      return "draining";
    case ServerState::kGone:
      return "gone";
  }
  return "unknown";
}

std::optional<ServerState> ParseServerState(std::string_view name) {
  for (ServerState state : {ServerState::kStarting, ServerState::kReady,
                            ServerState::kDraining, ServerState::kGone}) {
    if (ServerStateName(state) == name) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace gooseberryrock::directory
