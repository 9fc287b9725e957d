// What an I/O shard keeps of each request and each attempt.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_STATE_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "entry_shard.h"
#include "gooseberryrock/relay/request_state.h"

namespace gooseberryrock::entry {

struct EntryShard::Active {
  ActiveNumber number = 0;
  std::shared_ptr<transport::Exchange> exchange;
  // Holds the route of `state`.
  RouteTablePtr table;
  CallerRequest caller;
  // What is sent to servers, without the fields of one attempt.
  transport::Request request;
  relay::RequestState state;
  std::map<relay::AttemptNumber, AttemptKey> flights;
  // The last reply of a relayed request, and the attempt that it answers.
  relay::AttemptNumber replied_attempt = 0;
  transport::Response reply;
  std::optional<std::multimap<SteadyTime, ActiveNumber>::iterator> timer;
};

struct EntryShard::Flight {
  // 0 when no one waits for the reply.
  ActiveNumber active = 0;
  relay::AttemptNumber attempt = 0;
  relay::ServicePool* pool = nullptr;
  BackendServerId server;
  Rank rank = Rank::kNormal;
  Duration typical = Duration::zero();
  // Of the request, for the check of the reply.
  std::string request_id;
  // Null while it waits for a connection.
  ConnectionPtr connection;
  SteadyTime sent_at;
  SteadyTime give_up_at;
  bool overdue = false;
  uint32_t foreign_replies = 0;
};

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_ENTRY_SHARD_STATE_H_
