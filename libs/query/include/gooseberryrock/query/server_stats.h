// How the results of attempts change what a node knows of a server.

#ifndef GOOSEBERRYROCK_QUERY_SERVER_STATS_H_
#define GOOSEBERRYROCK_QUERY_SERVER_STATS_H_

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
  // The connection stopped responding. It says nothing about the server.
  kConnectionSilent,
};

void RecordAttemptStart(ServerView& view, SteadyTime now);

// `elapsed` counts from sending to the end.
void RecordAttemptEnd(ServerView& view,
                      AttemptEnd end,
                      Duration elapsed,
                      SteadyTime now);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SERVER_STATS_H_
