// How the results of attempts change what a node knows of a server.

#ifndef GOOSEBERRYROCK_QUERY_SERVER_STATS_H_
#define GOOSEBERRYROCK_QUERY_SERVER_STATS_H_

#include <cstdint>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct ServerView;

enum class AttemptEnd {
  kAnswered,
  // Refused without running: the server sheds load or is stopping.
  kRefused,
  kFailed,
  // No answer was waited for; the elapsed time is a lower bound.
  kCancelled,
  // The connection stopped responding. Not a failure of the server, but as slow
  // as a cancelled attempt until a new connection answers.
  kConnectionSilent,
};

void RecordAttemptStart(ServerView& view, SteadyTime now);

// `elapsed` counts from sending to the end. `typical` is the mean time of all
// servers of the service, zero when it is not known.
void RecordAttemptEnd(ServerView& view,
                      AttemptEnd end,
                      Duration elapsed,
                      Duration typical,
                      SteadyTime now);

// The server has started again and may be cold.
void RecordRestart(ServerView& view);

// Attempts that may be in flight to the server at the same time.
uint32_t SendWindow(const ServerView& view);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SERVER_STATS_H_
