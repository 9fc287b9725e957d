// A claim on the id of a non-idempotent request, and the replicated log entries
// that change it.

#ifndef GOOSEBERRYROCK_CLAIMS_CLAIM_H_
#define GOOSEBERRYROCK_CLAIMS_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::claims {

// Identifies the handling of one request by one node process.
struct ClaimHolder {
  NodeId node;
  uint64_t incarnation = 0;
  // Unique for each handling of a request by this incarnation of the node, so
  // that concurrent resends on one node do not release each other's claim.
  uint64_t attempt = 0;

  auto operator<=>(const ClaimHolder&) const = default;
};

struct Claim {
  // Hash of the request without its id.
  uint64_t content_hash = 0;
  ClaimHolder holder;
  // The encoded answer; empty until it is recorded.
  std::optional<std::string> outcome;

  auto operator<=>(const Claim&) const = default;
};

struct ClaimEntry {
  RequestId request;
  uint64_t content_hash = 0;
  ClaimHolder holder;
  // Wall-clock time of the leader that appended the entry.
  WallTime leader_time;
};

struct OutcomeEntry {
  RequestId request;
  ClaimHolder holder;
  std::string outcome;
  WallTime leader_time;
};

// Releases a claim whose holder is certain that it has not sent the request.
struct ReleaseEntry {
  RequestId request;
  ClaimHolder holder;
  WallTime leader_time;
};

}  // namespace gooseberryrock::claims

#endif  // GOOSEBERRYROCK_CLAIMS_CLAIM_H_
