// Command line options of the load tool.

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
  // Addresses of the nodes ("host:port").
  std::vector<std::string> nodes;
  std::string service;
  Duration duration = std::chrono::seconds(5);
  std::array<RankLoad, kRankCount> ranks;
  uint64_t seed = 1;
  uint32_t tenants = 3;
  // Fraction of the requests that are not idempotent.
  double booking_share = 0;
  // Fraction of the requests that are sent twice with the same id.
  double resend_share = 0;
  // Maximum number of requests in flight. When all threads are busy, requests
  // start late; the delay counts as latency.
  unsigned threads = 64;
  std::string text = "free chair";
  // When empty, no file is written.
  std::string csv_path;
};

}  // namespace gooseberryrock::load

#endif  // GOOSEBERRYROCK_APPS_LOAD_LOAD_OPTIONS_H_
