// Sends the requests of a load run and collects the results.

#ifndef GOOSEBERRYROCK_APPS_LOAD_LOAD_RUN_H_
#define GOOSEBERRYROCK_APPS_LOAD_LOAD_RUN_H_

#include <string>
#include <vector>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::load {

struct LoadOptions;

// Result of one request.
struct Sample {
  Duration offset = Duration::zero();
  Rank rank = Rank::kNormal;
  // Time from the planned start of the request to the end of the reply.
  Duration latency = Duration::zero();
  bool on_time = false;
  // Status of the answer; "http_<status>" for a reply that is not an answer,
  // "lost" when there was no reply, and "no_node" when no node was ready.
  std::string status;
  // Fraction of the queried shards that answered; 0 without an answer.
  double coverage = 0;
  // Problems of the answer; empty when it is correct.
  std::vector<std::string> problems;
};

// Generates an open-loop load: sends each request at its planned time, whether
// or not earlier ones have been answered.
std::vector<Sample> RunLoad(const LoadOptions& options);

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_LOAD_RUN_H_
