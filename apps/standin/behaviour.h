// Behaviour of a stand-in backend server, which tests can change at run time.

#ifndef GOOSEBERRYROCK_APPS_STANDIN_BEHAVIOUR_H_
#define GOOSEBERRYROCK_APPS_STANDIN_BEHAVIOUR_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryrock/base/error.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::standin {

// Shards of one layout that the server holds, each at all of the index
// versions.
struct HeldLayout {
  uint64_t layout_version = 1;
  std::vector<std::string> shards;
  std::vector<uint64_t> index_versions = {1};
};

enum class LoadReport { kTrue, kStale, kZero };
enum class HalfReply { kNone, kContentLength, kChunked };

struct Behaviour {
  // "starting", "ready" or "draining", as announced.
  std::string state = "ready";
  std::vector<HeldLayout> layouts;

  // Service times are log-normal with this median and sigma of the logarithm.
  Duration service_time = std::chrono::milliseconds(2);
  double service_time_sigma = 0.2;
  // Simulates a cold cache: the service time of the first request is multiplied
  // by `cold_factor`, which falls linearly to 1 over `cold_requests` requests.
  uint64_t cold_requests = 0;
  double cold_factor = 10;

  // Maximum number of waiting subqueries; further ones are refused.
  uint64_t max_queue = 100;
  // Refuses all subqueries.
  bool shed = false;
  // Immediately replies to each subquery with an error.
  bool fail_fast = false;
  bool honour_cancel = true;
  bool honour_deadline = true;

  LoadReport load_report = LoadReport::kTrue;
  // Age of the reported queue length with LoadReport::kStale.
  Duration load_report_age = std::chrono::seconds(5);

  uint32_t connection_limit = 30;
  // Delay before the first request of a connection is read. The kernel has
  // already completed the TCP handshake, so the client sees the delay in the
  // first reply.
  Duration connect_delay = Duration::zero();

  // The process crashes when the text of a subquery contains this marker.
  std::string crash_marker = "CRASH";
  HalfReply half_reply = HalfReply::kNone;
  // Replies name an index version that was not requested.
  bool wrong_snapshot = false;
  // Runs the subquery, then closes the connection without a reply.
  bool close_after_read = false;
};

class ControlError : public Error {
 public:
  using Error::Error;
};

// Sets the members of `behaviour` that the JSON object names. Member names are
// those of the struct, with the suffix `_ms` for durations in milliseconds.
// Throws ControlError and leaves `behaviour` unchanged when the JSON is
// malformed or has an unknown member.
void ApplyControl(std::string_view json, Behaviour& behaviour);

// Returns whether the server holds `shard` in the layout and index version.
bool Holds(const Behaviour& behaviour,
           std::string_view shard,
           uint64_t layout_version,
           uint64_t index_version);

// Draws the service time of the request with the number `n`, counted from 0.
Duration DrawServiceTime(const Behaviour& behaviour,
                         uint64_t n,
                         std::mt19937_64& random);

}  // namespace gooseberryrock::standin

#endif  // GOOSEBERRYROCK_APPS_STANDIN_BEHAVIOUR_H_
