// Runs non-idempotent requests at most once.

#include "gooseberryrock/node/at_most_once.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/control/control_client.h"
#include "gooseberryrock/node/query_engine.h"
#include "gooseberryrock/proto/convert_answer.h"
#include "gooseberryrock/proto/convert_claims.h"
#include "gooseberryrock/query/query_request.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::node {

namespace {

// Divides the time left until the deadline: the quotient is the time limit for
// the claim, the rest is for the request itself.
constexpr int kClaimTimeDivisor = 2;
// Time limit for recording the outcome. The caller waits meanwhile.
constexpr Duration kRecordTimeout = std::chrono::seconds(1);

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

uint64_t ContentHash(const query::QueryRequest& request) {
  uint64_t hash = Hash64(request.service.value);
  hash = Hash64(request.routing_key, hash);
  return Hash64(request.text, hash);
}

query::Answer OutcomeUnknown(query::AnswerReason reason) {
  query::Answer answer;
  answer.status = query::AnswerStatus::kOutcomeUnknown;
  answer.reason = reason;
  return answer;
}

// The answer for a claim that was not granted.
query::Answer AnswerForUngrantedClaim(const query::QueryRequest& request,
                                      const proto::ClaimReply& reply) {
  switch (reply.status()) {
    case proto::CLAIM_ALREADY:
      return reply.has_outcome()
                 ? proto::DecodeAnswer(reply.outcome())
                 : OutcomeUnknown(query::AnswerReason::kStillRunning);
    case proto::CLAIM_ID_REUSED:
      return query::NotRun(query::AnswerReason::kRequestIdReused);
    case proto::CLAIM_ID_EXPIRED:
    case proto::CLAIM_ID_MALFORMED:
      return OutcomeUnknown(query::AnswerReason::kRequestIdExpired);
    case proto::CLAIM_OVERLOADED:
      return RefuseUnclaimed(request, query::AnswerReason::kOverloaded);
    default:
      return RefuseUnclaimed(request, query::AnswerReason::kNoQuorum);
  }
}

}  // namespace

query::Answer RefuseUnclaimed(const query::QueryRequest& request,
                              query::AnswerReason reason) {
  return request.first_send ? query::NotRun(reason) : OutcomeUnknown(reason);
}

AtMostOnceExecutor::AtMostOnceExecutor(NodeId self,
                                       uint64_t incarnation,
                                       control::ControlClient& control,
                                       QueryEngine& engine,
                                       telemetry::Metrics& metrics)
    : self_(std::move(self)),
      incarnation_(incarnation),
      control_(control),
      engine_(engine),
      metrics_(metrics) {}

query::Answer AtMostOnceExecutor::Execute(const query::QueryRequest& request) {
  const claims::ClaimHolder holder = {self_, incarnation_, next_attempt_++};
  proto::ForwardRequest call;
  *call.mutable_claim() = proto::ToMessage(
      claims::ClaimEntry{request.id, ContentHash(request), holder, {}});
  const Duration left = request.deadline - Now();
  const control::CallResult result =
      control_.Call(std::move(call), left / kClaimTimeDivisor);
  if (result.status != control::CallStatus::kDone) {
    telemetry::Increment(metrics_, telemetry::Counter::kClaimsNotRun);
    return RefuseUnclaimed(request, query::AnswerReason::kNoQuorum);
  }
  const proto::ClaimReply& reply = result.reply.claim();
  // ControlClient may resend the call after a lost reply, in which case the
  // claim already belongs to this holder.
  const bool own_claim = reply.status() == proto::CLAIM_ALREADY &&
                         proto::FromMessage(reply).holder == holder;
  if (reply.status() == proto::CLAIM_GRANTED || own_claim) {
    telemetry::Increment(metrics_, telemetry::Counter::kClaimsAccepted);
    return Run(request, holder);
  }
  return AnswerForUngrantedClaim(request, reply);
}

query::Answer AtMostOnceExecutor::Run(const query::QueryRequest& request,
                                      const claims::ClaimHolder& holder) {
  query::Answer answer = engine_.Execute(request);
  if (answer.status == query::AnswerStatus::kNotRun) {
    Release(request, holder);
  } else if (answer.status == query::AnswerStatus::kOutcomeUnknown) {
    telemetry::Increment(metrics_, telemetry::Counter::kClaimsOutcomeUnknown);
  } else {
    RecordOutcome(request, holder, answer);
  }
  return answer;
}

void AtMostOnceExecutor::RecordOutcome(const query::QueryRequest& request,
                                       const claims::ClaimHolder& holder,
                                       const query::Answer& answer) {
  proto::ForwardRequest call;
  *call.mutable_outcome() = proto::ToMessage(claims::OutcomeEntry{
      request.id, holder, proto::EncodeAnswer(answer), {}});
  control_.Call(std::move(call),
                std::min<Duration>(kRecordTimeout, request.deadline - Now()));
}

void AtMostOnceExecutor::Release(const query::QueryRequest& request,
                                 const claims::ClaimHolder& holder) {
  proto::ForwardRequest call;
  *call.mutable_release() =
      proto::ToMessage(claims::ReleaseEntry{request.id, holder, {}});
  control_.Call(std::move(call),
                std::min<Duration>(kRecordTimeout, request.deadline - Now()));
}

}  // namespace gooseberryrock::node
