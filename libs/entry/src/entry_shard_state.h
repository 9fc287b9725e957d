// State of the requests and attempts of an I/O shard.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_STATE_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "entry_shard.h"
#include "gooseberryrock/relay/request_state.h"
#include "gooseberryrock/routes/route.h"
#include "gooseberryrock/transport/memory_reservation.h"

namespace gooseberryrock::organisations {
struct Organisation;
}  // namespace gooseberryrock::organisations

namespace gooseberryrock::entry {

// The maintenance runs every 200 ms. After a longer gap than this the process
// was suspended.
inline constexpr Duration kSuspendedAfter = std::chrono::milliseconds(600);

struct EntryShard::ActiveRequest {
  RequestNumber number = 0;
  std::shared_ptr<transport::Exchange> exchange;
  // Owns the route that `state` refers to.
  RouteTablePtr table;
  CallerRequest caller;
  // When the caller gives up.
  SteadyTime caller_deadline;
  // The route of the caller's request, owned by `table`.
  const routes::Route* route = nullptr;
  // Of the caller, owned by `table`; null if the route needs no key.
  const organisations::Organisation* organisation = nullptr;
  // Another entry node passed the request on.
  bool for_other_node = false;
  // The request to forward, without the fields specific to an attempt.
  transport::Request request;
  relay::RequestState state;
  std::map<relay::AttemptNumber, AttemptKey> in_flight;
  // The last reply to a relayed request, and the attempt that it belongs to.
  relay::AttemptNumber replied_attempt = 0;
  transport::Response reply;
  // The memory of `reply` and of the replies in `state`.
  transport::MemoryReservation held_replies;
  std::optional<std::multimap<SteadyTime, RequestNumber>::iterator> timer;
};

struct EntryShard::InFlightAttempt {
  // 0 if the reply is no longer needed.
  RequestNumber active = 0;
  relay::AttemptNumber attempt = 0;
  relay::ServicePool* pool = nullptr;
  BackendServerId server;
  // The rank by which reply times are recorded.
  Rank times_rank = Rank::kNormal;
  Duration typical = Duration::zero();
  // Compared with the request id in the reply.
  std::string request_id;
  // Null while the attempt waits for a connection.
  ConnectionPtr connection;
  SteadyTime sent_at;
  SteadyTime close_at;
  bool overdue = false;
  uint32_t mismatched_replies = 0;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_STATE_H_
