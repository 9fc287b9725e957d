// Event handlers of the consensus state machine.

#include "gooseberryrock/consensus/consensus.h"

#include <algorithm>
#include <utility>

#include "election.h"
#include "log.h"
#include "proposal.h"
#include "replication.h"

namespace gooseberryrock::consensus {

namespace {

Duration Lease(const ConsensusConfig& config) {
  return std::chrono::duration_cast<Duration>(config.election_timeout_min *
                                              (1.0 - config.clock_drift));
}

// Replies to a leader request that was meant for another storage id. The reply
// reports the actual storage id of this VM.
void RejectLeaderRequest(const ConsensusState& state,
                         const Message& message,
                         Effects& effects) {
  Message reply = MakeMessage(state, message.from, AppendReply{});
  reply.term = message.term;
  effects.send_at_once.push_back(std::move(reply));
}

void FollowLeader(ConsensusState& state,
                  const NodeId& leader,
                  SteadyTime now,
                  std::mt19937_64& random) {
  if (state.leader != leader || state.role != Role::kFollower) {
    StepDown(state);
    state.leader = leader;
    state.incoming.reset();
  }
  state.leader_contact_at = now;
  ResetElectionDeadline(state, now, random);
}

void HandleLeaderRequest(ConsensusState& state,
                         Message message,
                         SteadyTime now,
                         std::mt19937_64& random,
                         Effects& effects) {
  if (!message.to_storage_id.empty() &&
      message.to_storage_id != state.storage_id) {
    RejectLeaderRequest(state, message, effects);
    return;
  }
  if (message.term < state.hard_state.term) {
    // The reply carries the current term, so that a stale leader steps down.
    effects.send_at_once.push_back(
        MakeMessage(state, message.from, AppendReply{}));
    return;
  }
  if (message.term > state.hard_state.term) {
    EnterTerm(state, message.term, effects);
  }
  FollowLeader(state, message.from, now, random);
  if (std::holds_alternative<AppendRequest>(message.body)) {
    HandleAppendRequest(state, std::move(message), effects);
  } else if (std::holds_alternative<SnapshotRequest>(message.body)) {
    HandleSnapshotRequest(state, std::move(message), effects);
  } else {
    HandleTimeoutNow(state, now, random, effects);
  }
}

void HandleFollowerReply(ConsensusState& state,
                         const Message& message,
                         SteadyTime now,
                         Effects& effects) {
  const bool known =
      IsMemberStorage(state.membership, message.from, message.from_storage_id);
  if (known && message.term > state.hard_state.term) {
    EnterTerm(state, message.term, effects);
    return;
  }
  if (state.role != Role::kLeader || message.term != state.hard_state.term) {
    return;
  }
  if (std::holds_alternative<AppendReply>(message.body)) {
    HandleAppendReply(state, message, now, effects);
  } else {
    HandleSnapshotReply(state, message, now, effects);
  }
}

// A leader steps down when it has lost contact with a quorum, or when a
// leadership transfer has timed out, because it cannot use its lease again.
bool MustStepDown(const ConsensusState& state, SteadyTime now) {
  if (state.transferring && now >= state.transfer_deadline) {
    return true;
  }
  const Duration timeout = state.config.election_timeout_max;
  return now - state.became_leader >= timeout &&
         !IsConfirmedSince(state, now - timeout);
}

}  // namespace

LeadershipState GetLeadership(const ConsensusState& state) {
  return {state.role == Role::kLeader, state.hard_state.term, state.leader};
}

void FinalizeEffects(const ConsensusState& state,
                     const LeadershipState& before,
                     Effects& effects) {
  if (effects.install_snapshot || effects.truncate_from ||
      !effects.append.empty() || effects.hard_state) {
    effects.sync = {state.hard_state.term, LastPosition(state)};
  }
  const LeadershipState after = GetLeadership(state);
  if (after.is_leader != before.is_leader || after.leader != before.leader ||
      (after.is_leader && after.term != before.term)) {
    effects.leadership = {state.role, after.term, after.leader};
  }
}

RejectReason CheckProposable(const ConsensusState& state) {
  if (state.role != Role::kLeader) {
    return RejectReason::kNotLeader;
  }
  return state.transferring ? RejectReason::kTransferringLeadership
                            : RejectReason::kNone;
}

void AppendProposed(ConsensusState& state,
                    LogEntry entry,
                    ProposalId id,
                    Effects& effects) {
  entry.position = {state.hard_state.term, LastIndex(state) + 1};
  state.pending[entry.position.index] = {id, entry.position.term};
  AppendEntry(state, std::move(entry), effects);
  Acknowledge(state, LastIndex(state), effects);
}

ConsensusState StartConsensus(const NodeId& self,
                              std::string storage_id,
                              StoredState stored,
                              const ConsensusConfig& config,
                              SteadyTime now,
                              std::mt19937_64& random) {
  ConsensusState state;
  state.self = self;
  state.storage_id = std::move(storage_id);
  state.config = config;
  state.hard_state = std::move(stored.hard_state);
  state.log_start = stored.snapshot.last;
  if (!stored.entries.empty()) {
    const Position& first = stored.entries.front().position;
    if (first.index <= stored.snapshot.last.index) {
      // The stored entries start before the snapshot.
      state.log_start = first;
      stored.entries.erase(stored.entries.begin());
    }
  }
  state.entries.assign(std::make_move_iterator(stored.entries.begin()),
                       std::make_move_iterator(stored.entries.end()));
  state.commit_index = stored.snapshot.last.index;
  CompactLog(state, std::move(stored.snapshot), config.retained_entries);
  state.synced_index = LastIndex(state);
  ResetElectionDeadline(state, now, random);
  // A vote of the current term may be missing from a rolled back disk. After
  // the maximum election timeout, the candidates of that term have given up.
  state.votes_refused_until = now + config.election_timeout_max;
  state.election_deadline +=
      config.election_timeout_max - config.election_timeout_min;
  return state;
}

Effects Tick(ConsensusState& state, SteadyTime now, std::mt19937_64& random) {
  Effects effects;
  const LeadershipState before = GetLeadership(state);
  CommitTo(state, state.hard_state.commit_index, effects);
  state.last_tick = now;
  if (state.role == Role::kLeader) {
    if (MustStepDown(state, now)) {
      StepDown(state);
      ResetElectionDeadline(state, now, random);
    } else {
      TickReplication(state, now, effects);
    }
  } else {
    TickElection(state, now, random, effects);
  }
  FinalizeEffects(state, before, effects);
  return effects;
}

SteadyTime NextTick(const ConsensusState& state) {
  if (state.role != Role::kLeader) {
    return state.election_deadline;
  }
  SteadyTime next = state.last_tick + state.config.heartbeat_interval;
  for (const auto& [node, progress] : state.progress) {
    next = std::min(next, progress.last_sent + state.config.heartbeat_interval);
  }
  if (state.transferring) {
    next = std::min(next, state.transfer_deadline);
  }
  return next;
}

Effects HandleMessage(ConsensusState& state,
                      Message message,
                      SteadyTime now,
                      std::mt19937_64& random) {
  Effects effects;
  const LeadershipState before = GetLeadership(state);
  if (std::holds_alternative<VoteRequest>(message.body)) {
    // Requests for another storage id are ignored: the vote would not count.
    if (message.to_storage_id.empty() ||
        message.to_storage_id == state.storage_id) {
      HandleVoteRequest(state, message, now, random, effects);
    }
  } else if (std::holds_alternative<VoteReply>(message.body)) {
    HandleVoteReply(state, message, now, random, effects);
  } else if (std::holds_alternative<AppendReply>(message.body) ||
             std::holds_alternative<SnapshotReply>(message.body)) {
    HandleFollowerReply(state, message, now, effects);
  } else {
    HandleLeaderRequest(state, std::move(message), now, random, effects);
  }
  if (before.is_leader && state.role != Role::kLeader) {
    ResetElectionDeadline(state, now, random);
  }
  FinalizeEffects(state, before, effects);
  return effects;
}

Effects OnPersisted(ConsensusState& state,
                    const SyncPoint& point,
                    SteadyTime now) {
  Effects effects;
  const LeadershipState before = GetLeadership(state);
  if (TermAt(state, point.last.index) == point.last.term) {
    state.synced_index = std::max(state.synced_index, point.last.index);
  }
  if (state.role == Role::kLeader) {
    RecordAcknowledged(state, state.storage_id,
                       {state.hard_state.term, state.synced_index});
    AdvanceCommit(state, effects);
  } else if (point.term == state.hard_state.term) {
    FinishElection(state, now, effects);
  }
  FinalizeEffects(state, before, effects);
  return effects;
}

Effects Propose(ConsensusState& state,
                std::vector<Proposal> proposals,
                SteadyTime now) {
  Effects effects;
  const LeadershipState before = GetLeadership(state);
  const RejectReason reason = CheckProposable(state);
  for (Proposal& proposal : proposals) {
    const RejectReason own_reason =
        proposal.payload.size() > state.config.max_payload_bytes
            ? RejectReason::kPayloadTooLarge
            : reason;
    if (own_reason != RejectReason::kNone) {
      effects.outcomes.push_back(
          {proposal.id, ProposalStatus::kNotRun, own_reason, {}});
      continue;
    }
    LogEntry entry;
    entry.kind = EntryKind::kCommand;
    entry.payload = std::move(proposal.payload);
    AppendProposed(state, std::move(entry), proposal.id, effects);
  }
  if (!effects.append.empty()) {
    SendToAll(state, now, effects);
  }
  FinalizeEffects(state, before, effects);
  return effects;
}

Effects TransferLeadership(ConsensusState& state, SteadyTime now) {
  Effects effects;
  if (state.role != Role::kLeader || state.transferring) {
    return effects;
  }
  state.transferring = true;
  state.transfer_deadline = now + state.config.election_timeout_min;
  ContinueTransfer(state, effects);
  return effects;
}

bool HasLease(const ConsensusState& state, SteadyTime now) {
  return state.role == Role::kLeader && !state.transferring &&
         TermAt(state, state.commit_index) == state.hard_state.term &&
         IsConfirmedSince(state, now - Lease(state.config));
}

bool IsSnapshotDue(const ConsensusState& state) {
  return state.commit_index >=
         state.snapshot.last.index + state.config.snapshot_interval;
}

Effects TakeSnapshot(ConsensusState& state, std::string data) {
  Effects effects;
  if (state.commit_index == state.snapshot.last.index) {
    return effects;
  }
  const LeadershipState before = GetLeadership(state);
  Snapshot snapshot;
  snapshot.last = EntryAt(state, state.commit_index).position;
  snapshot.membership = MembershipAt(state, state.commit_index);
  snapshot.data = std::move(data);
  effects.install_snapshot = snapshot;
  CompactLog(state, std::move(snapshot), state.config.retained_entries);
  FinalizeEffects(state, before, effects);
  return effects;
}

}  // namespace gooseberryrock::consensus
