// Conversions between claims, suspect queries and their messages.

#include "gooseberryrock/proto/convert_claims.h"

#include <array>
#include <utility>

#include "gooseberryrock/claims/crash_history.h"
#include "gooseberryrock/claims/crash_suspects.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "peer.pb.h"

namespace gooseberryrock::proto {

namespace {

constexpr std::array kClaimStatuses{
    std::pair(claims::ClaimStatus::kGranted, CLAIM_GRANTED),
    std::pair(claims::ClaimStatus::kAlreadyClaimed, CLAIM_ALREADY),
    std::pair(claims::ClaimStatus::kIdReused, CLAIM_ID_REUSED),
    std::pair(claims::ClaimStatus::kIdExpired, CLAIM_ID_EXPIRED),
    std::pair(claims::ClaimStatus::kIdMalformed, CLAIM_ID_MALFORMED),
    std::pair(claims::ClaimStatus::kTooManyClaims, CLAIM_OVERLOADED),
};

constexpr std::array kRecordStatuses{
    std::pair(claims::RecordStatus::kDone, RECORD_DONE),
    std::pair(claims::RecordStatus::kNoClaim, RECORD_NO_CLAIM),
    std::pair(claims::RecordStatus::kNotHolder, RECORD_NOT_HOLDER),
    std::pair(claims::RecordStatus::kHasOutcome, RECORD_HAS_OUTCOME),
    std::pair(claims::RecordStatus::kTooLarge, RECORD_TOO_LARGE),
};

template <typename Table, typename Value>
auto ToStatus(const Table& table, Value value) {
  for (const auto& [plain, message] : table) {
    if (plain == value) {
      return message;
    }
  }
  throw MalformedMessageError("the status is out of range");
}

template <typename Table, typename Value>
auto FromStatus(const Table& table, Value value) {
  for (const auto& [plain, message] : table) {
    if (message == value) {
      return plain;
    }
  }
  throw MalformedMessageError("the status is missing or out of range");
}

ClaimHolder ToMessage(const claims::ClaimHolder& holder) {
  ClaimHolder message;
  message.set_node(holder.node.value);
  message.set_incarnation(holder.incarnation);
  message.set_attempt(holder.attempt);
  return message;
}

claims::ClaimHolder FromMessage(const ClaimHolder& message) {
  if (message.node().empty() || message.incarnation() == 0) {
    throw MalformedMessageError("the holder of the claim is missing");
  }
  return {{message.node()}, message.incarnation(), message.attempt()};
}

}  // namespace

ClaimRequest ToMessage(const claims::ClaimEntry& entry) {
  ClaimRequest message;
  message.set_request_id(entry.request.value);
  message.set_content_hash(entry.content_hash);
  *message.mutable_holder() = ToMessage(entry.holder);
  return message;
}

OutcomeRequest ToMessage(const claims::OutcomeEntry& entry) {
  OutcomeRequest message;
  message.set_request_id(entry.request.value);
  *message.mutable_holder() = ToMessage(entry.holder);
  message.set_outcome(entry.outcome);
  return message;
}

ReleaseRequest ToMessage(const claims::ReleaseEntry& entry) {
  ReleaseRequest message;
  message.set_request_id(entry.request.value);
  *message.mutable_holder() = ToMessage(entry.holder);
  return message;
}

ClaimReply ToMessage(const claims::ClaimResult& result) {
  ClaimReply message;
  message.set_status(ToStatus(kClaimStatuses, result.status));
  if (result.status == claims::ClaimStatus::kAlreadyClaimed) {
    *message.mutable_holder() = ToMessage(result.holder);
  }
  if (result.outcome) {
    message.set_outcome(*result.outcome);
  }
  return message;
}

RecordReply ToMessage(claims::RecordStatus status) {
  RecordReply message;
  message.set_status(ToStatus(kRecordStatuses, status));
  return message;
}

CrashSuspicion ToMessage(const claims::CrashSuspicion& suspicion) {
  CrashSuspicion message;
  message.set_fingerprint(suspicion.fingerprint);
  for (const auto& [server, details] : suspicion.crashes) {
    auto& it = *message.add_crashes();
    it.set_server(server.server.value);
    it.set_incarnation(server.incarnation);
    it.set_shared(details.shared);
    it.set_fan_out(details.fan_out);
  }
  message.set_cleared(suspicion.cleared);
  message.set_age_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(suspicion.age)
          .count()));
  message.set_runner(suspicion.runner.value);
  return message;
}

void AddCrashNotices(
    const std::vector<claims::CrashNotice>& notices,
    google::protobuf::RepeatedPtrField<RequestCrashes>& messages) {
  const auto milliseconds = [](Duration duration) {
    return static_cast<uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(duration).count());
  };
  for (const claims::CrashNotice& it : notices) {
    RequestCrashes& message = *messages.Add();
    message.set_fingerprint(it.fingerprint);
    message.mutable_crashes()->Add(it.crashes.begin(), it.crashes.end());
    message.mutable_cleared()->Add(it.cleared.begin(), it.cleared.end());
    message.set_age_ms(milliseconds(it.age));
    message.set_trial_ms(milliseconds(it.trial));
  }
}

std::vector<claims::CrashNotice> ReadCrashNotices(
    const google::protobuf::RepeatedPtrField<RequestCrashes>& messages) {
  std::vector<claims::CrashNotice> notices;
  for (const RequestCrashes& it : messages) {
    if (static_cast<size_t>(it.crashes_size()) > claims::kMaxCrashIds ||
        static_cast<size_t>(it.cleared_size()) > claims::kMaxCrashIds) {
      throw MalformedMessageError("a request has too many crashes");
    }
    notices.push_back({it.fingerprint(),
                       {it.crashes().begin(), it.crashes().end()},
                       {it.cleared().begin(), it.cleared().end()},
                       std::chrono::milliseconds(it.age_ms()),
                       std::chrono::milliseconds(it.trial_ms())});
  }
  return notices;
}

claims::ClaimEntry FromMessage(const ClaimRequest& message) {
  return {{message.request_id()},
          message.content_hash(),
          FromMessage(message.holder()),
          {}};
}

claims::OutcomeEntry FromMessage(const OutcomeRequest& message) {
  return {{message.request_id()},
          FromMessage(message.holder()),
          message.outcome(),
          {}};
}

claims::ReleaseEntry FromMessage(const ReleaseRequest& message) {
  return {{message.request_id()}, FromMessage(message.holder()), {}};
}

claims::ClaimResult FromMessage(const ClaimReply& message) {
  claims::ClaimResult result;
  result.status = FromStatus(kClaimStatuses, message.status());
  if (result.status == claims::ClaimStatus::kAlreadyClaimed) {
    result.holder = FromMessage(message.holder());
  }
  if (message.has_outcome()) {
    result.outcome = message.outcome();
  }
  return result;
}

claims::RecordStatus FromMessage(const RecordReply& message) {
  return FromStatus(kRecordStatuses, message.status());
}

claims::CrashSuspicion FromMessage(const CrashSuspicion& message) {
  if (static_cast<size_t>(message.crashes_size()) > claims::kMaxCrashes) {
    throw MalformedMessageError("a crash suspicion names too many crashes");
  }
  claims::CrashSuspicion suspicion;
  suspicion.fingerprint = message.fingerprint();
  for (const auto& it : message.crashes()) {
    if (it.server().empty()) {
      throw MalformedMessageError("the server of a crash is missing");
    }
    suspicion.crashes[{{it.server()}, it.incarnation()}] = {it.shared(),
                                                            it.fan_out()};
  }
  suspicion.cleared = message.cleared();
  suspicion.age = std::chrono::milliseconds(message.age_ms());
  suspicion.runner.value = message.runner();
  return suspicion;
}

}  // namespace gooseberryrock::proto
