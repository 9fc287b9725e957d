// Sends the requests of a run and collects what came back.

#ifndef GOOSEBERRYROCK_APPS_LOAD_LOAD_RUN_H_
#define GOOSEBERRYROCK_APPS_LOAD_LOAD_RUN_H_

#include <string>
#include <vector>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::load {

struct LoadOptions;

// What became of one request.
struct Sample {
  Duration offset = Duration::zero();
  Rank rank = Rank::kNormal;
  // From the planned time of the request to the end of the reply.
  Duration latency = Duration::zero();
  bool on_time = false;
  // The answer's status, "http_<status>" for an error reply, "lost" without a
  // reply, or "no_node" when no node was ready.
  std::string status;
  // Share of the addressed shards that answered; 0 without an answer.
  double coverage = 0;
  // Problems of the answer; empty for a right one.
  std::vector<std::string> problems;
};

// Sends each request at its planned time, whether earlier ones have been
// answered or not.
std::vector<Sample> RunLoad(const LoadOptions& options);

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_LOAD_RUN_H_
