// Client for calls to the replicated log.

#include "gooseberryrock/control/control_client.h"

#include <algorithm>
#include <utility>

#include "control.pb.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/control/replicated_log.h"
#include "gooseberryrock/peer/peer_process.h"
#include "gooseberryrock/proto/binary_codec.h"

namespace gooseberryrock::control {

namespace {

// Timeout of one attempt. The leader may have failed, so the next VM is tried.
constexpr Duration kAttemptTimeout = std::chrono::milliseconds(500);
// Interval of checks whether another VM leads by now. An attempt at a leader
// that failed ends as soon as the others have elected a new one.
constexpr Duration kLeaderCheckInterval = std::chrono::milliseconds(25);
// Delay before the next attempt after a VM replied that it is not the leader.
constexpr Duration kRetryPause = std::chrono::milliseconds(30);

SteadyTime Now() {
  return BootTime();
}

uint64_t WallMilliseconds() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Encodes the log entry for a call.
std::string EncodeEntry(const proto::ForwardRequest& request) {
  proto::ControlEntry entry;
  entry.set_leader_wall_ms(WallMilliseconds());
  switch (request.call_case()) {
    case proto::ForwardRequest::kCommand:
      *entry.mutable_command() = request.command();
      break;
    case proto::ForwardRequest::kClaim:
      *entry.mutable_claim() = request.claim();
      break;
    case proto::ForwardRequest::kOutcome:
      *entry.mutable_outcome() = request.outcome();
      break;
    case proto::ForwardRequest::kRelease:
      *entry.mutable_release() = request.release();
      break;
    case proto::ForwardRequest::kPutRoutes:
      *entry.mutable_put_routes() = request.put_routes();
      break;
    case proto::ForwardRequest::kEvacuation:
      *entry.mutable_evacuation() = request.evacuation();
      break;
    default:
      break;
  }
  return entry.SerializeAsString();
}

consensus::MembershipChange ToChange(
    const proto::ChangeMembershipRequest& request) {
  consensus::MembershipChange change;
  switch (request.action()) {
    case proto::PROMOTE:
      change.action = consensus::MembershipAction::kPromote;
      break;
    case proto::REMOVE:
      change.action = consensus::MembershipAction::kRemove;
      break;
    default:
      change.action = consensus::MembershipAction::kAddLearner;
      break;
  }
  change.node.value = request.node();
  change.storage_id = request.storage_id();
  change.peer_address = request.peer_address();
  return change;
}

proto::ForwardReply NotLeaderReply(const SubmitResult& result) {
  proto::ForwardReply reply;
  reply.set_not_leader(true);
  reply.set_leader(result.leader.value);
  return reply;
}

proto::ForwardReply MembershipReply(const SubmitResult& result) {
  proto::ForwardReply reply;
  auto& membership = *reply.mutable_membership();
  switch (result.status) {
    case SubmitStatus::kDone:
      membership.set_status(proto::ACCEPTED);
      break;
    case SubmitStatus::kRejected:
      membership.set_status(proto::INVALID);
      membership.add_problems(result.result);
      break;
    case SubmitStatus::kNotRun:
      return NotLeaderReply(result);
    case SubmitStatus::kUnknown:
      membership.set_status(proto::OUTCOME_UNKNOWN);
      break;
  }
  return reply;
}

// A reply with only the correlation id set means that the outcome is unknown.
proto::ForwardReply EntryReply(const SubmitResult& result) {
  if (result.status == SubmitStatus::kNotRun ||
      result.status == SubmitStatus::kRejected) {
    return NotLeaderReply(result);
  }
  proto::ForwardReply reply;
  if (result.status == SubmitStatus::kDone) {
    reply.ParseFromString(result.result);
  }
  return reply;
}

bool IsFinalReply(const proto::ForwardReply& reply) {
  return !reply.not_leader() &&
         reply.reply_case() != proto::ForwardReply::REPLY_NOT_SET;
}

}  // namespace

ControlClient::ControlClient(const ControlClientOptions& options,
                             ReplicatedLog* log,
                             RequestSender send_request,
                             ReplySender send_reply,
                             Reader read)
    : options_(options),
      log_(log),
      send_request_(std::move(send_request)),
      send_reply_(std::move(send_reply)),
      read_(std::move(read)) {}

CallResult ControlClient::Call(proto::ForwardRequest call, Duration timeout) {
  const SteadyTime deadline = Now() + timeout;
  CallResult result;
  for (size_t attempt = 0; Now() < deadline; ++attempt) {
    const NodeId target = NextTarget(attempt);
    if (target.empty()) {
      return result;
    }
    auto reply =
        Attempt(target, call, std::min(deadline, Now() + kAttemptTimeout));
    if (reply && IsFinalReply(*reply)) {
      return {CallStatus::kDone, std::move(*reply)};
    }
    if (!reply || !reply->not_leader()) {
      result.status = CallStatus::kUnknown;
    }
    std::unique_lock lock(mutex_);
    leader_.value = reply ? reply->leader() : "";
    if (leader_.empty() || leader_ == target) {
      leader_ = {};
      replied_.wait_for(lock, std::min(deadline - Now(), kRetryPause),
                        [] { return false; });
    }
  }
  return result;
}

bool ControlClient::IsReplaced(const NodeId& leader) const {
  if (log_ == nullptr) {
    return false;
  }
  const NodeId now_leads = log_->Status().leader;
  return !now_leads.empty() && now_leads != leader;
}

NodeId ControlClient::NextTarget(size_t attempt) const {
  if (log_ != nullptr) {
    NodeId leader = log_->Status().leader;
    if (!leader.empty()) {
      return leader;
    }
  }
  std::lock_guard lock(mutex_);
  if (!leader_.empty()) {
    return leader_;
  }
  if (options_.control_nodes.empty()) {
    return {};
  }
  return options_.control_nodes[attempt % options_.control_nodes.size()];
}

std::optional<proto::ForwardReply> ControlClient::Attempt(
    const NodeId& target,
    proto::ForwardRequest& call,
    SteadyTime until) {
  std::unique_lock lock(mutex_);
  const uint64_t id = next_correlation_id_++;
  pending_calls_[id];
  lock.unlock();
  call.set_correlation_id(id);
  if (target == options_.self) {
    ExecuteLocally(call,
                   [this](const proto::ForwardReply& it) { OnReply(it); });
  } else {
    send_request_(target, call);
  }
  bool replied = false;
  while (!replied && Now() < until && !IsReplaced(target)) {
    lock.lock();
    replied =
        replied_.wait_for(lock, std::min(until - Now(), kLeaderCheckInterval),
                          [&] { return pending_calls_[id].reply.has_value(); });
    lock.unlock();
  }
  lock.lock();
  auto reply = std::move(pending_calls_[id].reply);
  pending_calls_.erase(id);
  return reply;
}

void ControlClient::ExecuteLocally(
    const proto::ForwardRequest& request,
    std::function<void(proto::ForwardReply)> done) {
  const uint64_t id = request.correlation_id();
  auto finish = [id, done = std::move(done)](proto::ForwardReply reply) {
    reply.set_correlation_id(id);
    done(std::move(reply));
  };
  if (log_ == nullptr ||
      request.call_case() == proto::ForwardRequest::CALL_NOT_SET) {
    finish(NotLeaderReply({}));
  } else if (request.has_membership()) {
    log_->ChangeMembership(
        ToChange(request.membership()),
        [finish](const SubmitResult& it) { finish(MembershipReply(it)); });
  } else if (request.has_read() || request.has_read_routes() ||
             request.has_confirm_routes() || request.has_read_evacuation()) {
    log_->Read([this, request] { return read_(request); },
               [finish](const SubmitResult& it) { finish(EntryReply(it)); });
  } else {
    log_->Submit(EncodeEntry(request),
                 [finish](const SubmitResult& it) { finish(EntryReply(it)); });
  }
}

void ControlClient::OnRequestFrame(const peer::PeerProcess& from,
                                   const std::string& body) {
  ExecuteLocally(proto::Parse<proto::ForwardRequest>(body),
                 [this, from](const proto::ForwardReply& reply) {
                   send_reply_(from, reply);
                 });
}

void ControlClient::OnReplyFrame(const std::string& body) {
  OnReply(proto::Parse<proto::ForwardReply>(body));
}

void ControlClient::OnReply(const proto::ForwardReply& reply) {
  {
    std::lock_guard lock(mutex_);
    auto it = pending_calls_.find(reply.correlation_id());
    if (it == pending_calls_.end()) {
      return;
    }
    it->second.reply = reply;
  }
  replied_.notify_all();
}

}  // namespace gooseberryrock::control
