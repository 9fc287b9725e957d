// Runs non-idempotent requests at most once: claims the request id in the
// replicated log, runs the request, and records its outcome there.

#ifndef GOOSEBERRYROCK_NODE_AT_MOST_ONCE_H_
#define GOOSEBERRYROCK_NODE_AT_MOST_ONCE_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/query/answer.h"

namespace gooseberryrock::claims {
struct ClaimHolder;
}  // namespace gooseberryrock::claims

namespace gooseberryrock::query {
struct QueryRequest;
}  // namespace gooseberryrock::query

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::control {
class ControlClient;
}  // namespace gooseberryrock::control

namespace gooseberryrock::node {

class QueryEngine;

// The answer to a non-idempotent request that is refused before its claim was
// read. An earlier send of the request may have run, so the status is "not run"
// only if the caller marks this as the first send.
query::Answer RefuseUnclaimed(const query::QueryRequest& request,
                              query::AnswerReason reason);

class AtMostOnceExecutor {
 public:
  // `incarnation` increases with each start of the node.
  AtMostOnceExecutor(NodeId self,
                     uint64_t incarnation,
                     control::ControlClient& control,
                     QueryEngine& engine,
                     telemetry::Metrics& metrics);

  // Runs the request unless it has already run; otherwise returns the recorded
  // outcome. Blocks until the deadline at most.
  query::Answer Execute(const query::QueryRequest& request);

 private:
  query::Answer Run(const query::QueryRequest& request,
                    const claims::ClaimHolder& holder);
  void RecordOutcome(const query::QueryRequest& request,
                     const claims::ClaimHolder& holder,
                     const query::Answer& answer);
  void Release(const query::QueryRequest& request,
               const claims::ClaimHolder& holder);

  const NodeId self_;
  const uint64_t incarnation_;
  control::ControlClient& control_;
  QueryEngine& engine_;
  telemetry::Metrics& metrics_;
  // Distinguishes claims made by the same incarnation of the node.
  std::atomic<uint64_t> next_attempt_ = 1;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_AT_MOST_ONCE_H_
