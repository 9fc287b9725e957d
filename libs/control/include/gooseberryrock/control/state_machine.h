// Interface of the state machine driven by the replicated log.

#ifndef GOOSEBERRYROCK_CONTROL_STATE_MACHINE_H_
#define GOOSEBERRYROCK_CONTROL_STATE_MACHINE_H_

#include <functional>
#include <string>
#include <string_view>

namespace gooseberryrock::control {

// All functions are called on the log's thread. `apply` and `restore` must be
// deterministic so that all replicas reach the same state.
struct StateMachine {
  // Applies a committed entry and returns its result.
  std::function<std::string(std::string_view payload)> apply;
  // Returns the complete serialized state.
  std::function<std::string()> snapshot;
  // Resets to the initial state.
  std::function<void()> reset;
  // Replaces the state by a result of `snapshot`.
  std::function<void(std::string_view data)> restore;
  // Optional. Reports, at the start, an entry of the log that is not known to
  // be committed. May also be called before the log's thread runs.
  std::function<void(std::string_view payload)> on_stored;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_STATE_MACHINE_H_
