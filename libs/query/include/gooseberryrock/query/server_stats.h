// Updates a node's statistics of a backend server from the results of attempts.

#ifndef GOOSEBERRYROCK_QUERY_SERVER_STATS_H_
#define GOOSEBERRYROCK_QUERY_SERVER_STATS_H_

#include <cstdint>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct ServerView;

enum class AttemptEnd {
  kAnswered,
  // Rejected without running: the server sheds load or is stopping.
  kRefused,
  kFailed,
  // Cancelled before a reply; the elapsed time is a lower bound.
  kCancelled,
  // The connection stopped responding. Not counted as a server failure, but the
  // elapsed time is a lower bound as for a cancelled attempt.
  kConnectionSilent,
};

void RecordAttemptStart(ServerView& view, SteadyTime now);

// `elapsed` is the time since the attempt was sent. `typical` is the mean
// subquery time over all servers of the service, or zero if unknown.
void RecordAttemptEnd(ServerView& view,
                      AttemptEnd end,
                      Duration elapsed,
                      Duration typical,
                      SteadyTime now);

// Resets the statistics after a restart of the server, whose caches may be
// cold.
void RecordRestart(ServerView& view);

// Maximum number of attempts in flight to the server.
uint32_t SendWindow(const ServerView& view);

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_SERVER_STATS_H_
