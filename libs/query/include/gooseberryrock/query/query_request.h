// A caller's request.

#ifndef GOOSEBERRYROCK_QUERY_QUERY_REQUEST_H_
#define GOOSEBERRYROCK_QUERY_QUERY_REQUEST_H_

#include <cstdint>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::query {

struct QueryRequest {
  RequestId id;
  ServiceName service;
  std::string tenant;
  Rank rank = Rank::kNormal;
  // The answer must reach the caller by this time.
  SteadyTime deadline;
  // A non-idempotent request runs at most once, on the one shard that its
  // routing key selects.
  bool idempotent = true;
  // The caller asserts that it has not sent this request before. Only then may
  // a non-idempotent request be refused as "not run" without reading its claim.
  bool first_send = false;
  // Selects one shard; if empty, the request goes to every shard.
  std::string routing_key;
  std::string text;
  // Maximum number of rows in the answer.
  uint32_t row_limit = 0;
};

}  // namespace gooseberryrock::query

#endif  // GOOSEBERRYROCK_QUERY_QUERY_REQUEST_H_
