// What the load tool is told at its start.

#ifndef GOOSEBERRYROCK_APPS_LOAD_LOAD_OPTIONS_H_
#define GOOSEBERRYROCK_APPS_LOAD_LOAD_OPTIONS_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::load {

struct RankLoad {
  // Requests per second.
  double rate = 0;
  Duration deadline = std::chrono::milliseconds(500);
};

struct LoadOptions {
  // "host:port" of the nodes.
  std::vector<std::string> nodes;
  std::string service;
  Duration length = std::chrono::seconds(5);
  std::array<RankLoad, kRankCount> ranks;
  uint64_t seed = 1;
  uint32_t tenants = 3;
  // Share of the requests that are not idempotent.
  double booking_share = 0;
  // Share of the requests whose id is sent a second time.
  double resend_share = 0;
  // Requests in flight at most; later ones start late, which counts as latency.
  unsigned threads = 64;
  std::string text = "free chair";
  // Empty: no file is written.
  std::string csv_path;
};

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_LOAD_OPTIONS_H_
