// Leader election: pre-votes, votes and becoming leader.

#include "election.h"

#include <set>
#include <utility>

#include "gooseberryrock/consensus/consensus.h"
#include "log.h"
#include "replication.h"

namespace gooseberryrock::consensus {

namespace {

bool MayCampaign(const ConsensusState& state) {
  return IsVoter(state.membership, state.self) &&
         IsMemberStorage(state.membership, state.self, state.storage_id) &&
         !state.hard_state.suspended;
}

bool HasQuorumOfVotes(const ConsensusState& state) {
  std::set<NodeId> voters;
  for (const auto& [node, storage_id] : state.votes) {
    voters.insert(node);
  }
  return IsQuorum(state.membership, voters);
}

std::vector<Message> VoteRequests(const ConsensusState& state,
                                  VoteRequest request) {
  std::vector<Message> messages;
  for (const auto& [node, member] : state.membership.members) {
    if (node != state.self && member.voter) {
      request.known = KnownAcknowledged(state, member.storage_id);
      messages.push_back(MakeMessage(state, node, request));
    }
  }
  return messages;
}

void StartElection(ConsensusState& state,
                   bool transfer,
                   SteadyTime now,
                   std::mt19937_64& random,
                   Effects& effects) {
  EnterTerm(state, state.hard_state.term + 1, effects);
  state.role = Role::kCandidate;
  state.hard_state.voted_for = state.self;
  effects.hard_state = state.hard_state;
  state.votes = {{state.self, state.storage_id}};
  ResetElectionDeadline(state, now, random);
  VoteRequest request;
  request.leadership_transfer = transfer;
  request.last = LastPosition(state);
  request.acknowledged = state.hard_state.acknowledged;
  effects.send_after_sync = VoteRequests(state, request);
}

void StartPreVote(ConsensusState& state,
                  SteadyTime now,
                  std::mt19937_64& random,
                  Effects& effects) {
  StepDown(state);
  state.role = Role::kPreCandidate;
  state.votes = {{state.self, state.storage_id}};
  if (HasQuorumOfVotes(state)) {
    StartElection(state, /*transfer=*/false, now, random, effects);
    return;
  }
  VoteRequest request;
  request.pre_vote = true;
  request.last = LastPosition(state);
  request.acknowledged = state.hard_state.acknowledged;
  effects.send_at_once = VoteRequests(state, request);
  for (Message& message : effects.send_at_once) {
    message.term = state.hard_state.term + 1;
  }
}

// Returns the membership with storage ids filled in from the votes. For the
// first leader of a new cluster these are complete: its election is unanimous.
Membership WithStorageIds(const ConsensusState& state) {
  Membership membership = state.membership;
  for (auto& [node, member] : membership.members) {
    auto it = state.votes.find(node);
    if (member.storage_id.empty() && it != state.votes.end()) {
      member.storage_id = it->second;
    }
  }
  return membership;
}

void BecomeLeader(ConsensusState& state, SteadyTime now, Effects& effects) {
  LogEntry entry;
  if (!AllStorageKnown(state.membership)) {
    entry.kind = EntryKind::kMembership;
    entry.membership = WithStorageIds(state);
  }
  state.role = Role::kLeader;
  state.leader = state.self;
  state.became_leader = now;
  state.last_tick = now;
  state.votes.clear();
  state.transferring = false;
  state.timeout_now_sent = false;
  state.progress.clear();
  UpdateProgress(state, now);
  entry.position = {state.hard_state.term, LastIndex(state) + 1};
  AppendEntry(state, std::move(entry), effects);
  Acknowledge(state, LastIndex(state), effects);
  SendToAll(state, now, effects);
}

// While this returns true, the leader may rely on this VM not voting.
bool HasLeaderContact(const ConsensusState& state, SteadyTime now) {
  const Duration timeout = state.config.election_timeout_min;
  if (state.role == Role::kLeader) {
    return IsConfirmedSince(state, now - timeout);
  }
  return state.leader_contact_at && now < *state.leader_contact_at + timeout;
}

// Returns whether the sender reports less than it is known to have
// acknowledged. A message of an earlier term may have been sent before the
// acknowledgement and does not prove a rollback; it is refused nevertheless.
bool IsRolledBack(const ConsensusState& state,
                  const Message& message,
                  const Acknowledgement& reported) {
  return reported < KnownAcknowledged(state, message.from_storage_id);
}

void ReportRolledBack(const ConsensusState& state,
                      const Message& message,
                      uint64_t election_term,
                      Effects& effects) {
  if (KnownAcknowledged(state, message.from_storage_id).term < election_term) {
    effects.refused.push_back(
        {message.from, message.from_storage_id, /*rolled_back=*/true});
  }
}

}  // namespace

void ResetElectionDeadline(ConsensusState& state,
                           SteadyTime now,
                           std::mt19937_64& random) {
  const ConsensusConfig& config = state.config;
  std::uniform_int_distribution<Duration::rep> timeout(
      config.election_timeout_min.count(), config.election_timeout_max.count());
  state.election_deadline = now + Duration(timeout(random));
}

void TickElection(ConsensusState& state,
                  SteadyTime now,
                  std::mt19937_64& random,
                  Effects& effects) {
  if (now < state.election_deadline) {
    return;
  }
  ResetElectionDeadline(state, now, random);
  if (MayCampaign(state)) {
    StartPreVote(state, now, random, effects);
  } else {
    StepDown(state);
  }
}

void EnterTerm(ConsensusState& state, uint64_t term, Effects& effects) {
  StepDown(state);
  state.hard_state.term = term;
  state.hard_state.voted_for = {};
  effects.hard_state = state.hard_state;
}

void FinishElection(ConsensusState& state, SteadyTime now, Effects& effects) {
  if (state.role == Role::kCandidate && HasQuorumOfVotes(state)) {
    BecomeLeader(state, now, effects);
  }
}

void HandleVoteRequest(ConsensusState& state,
                       const Message& message,
                       SteadyTime now,
                       std::mt19937_64& random,
                       Effects& effects) {
  const auto& request = std::get<VoteRequest>(message.body);
  VoteReply reply;
  reply.pre_vote = request.pre_vote;
  reply.requested_term = message.term;
  reply.acknowledged = state.hard_state.acknowledged;
  reply.known = KnownAcknowledged(state, message.from_storage_id);
  CheckOwnDisk(state, request.known, effects);
  const bool vote_blocked =
      now < state.votes_refused_until ||
      (HasLeaderContact(state, now) && !request.leadership_transfer);
  const bool rolled_back = IsRolledBack(state, message, request.acknowledged);
  // Not reported for pre-vote requests, which may have been sent before the
  // acknowledgement.
  if (rolled_back && !request.pre_vote) {
    ReportRolledBack(state, message, message.term, effects);
  }
  const bool acceptable = !vote_blocked && !rolled_back &&
                          !state.hard_state.suspended &&
                          request.last >= LastPosition(state);
  if (request.pre_vote) {
    reply.granted = acceptable && message.term > state.hard_state.term;
    effects.send_at_once.push_back(MakeMessage(state, message.from, reply));
    return;
  }
  if (vote_blocked || state.hard_state.suspended) {
    effects.send_at_once.push_back(MakeMessage(state, message.from, reply));
    return;
  }
  if (message.term > state.hard_state.term) {
    EnterTerm(state, message.term, effects);
  }
  if (acceptable && message.term == state.hard_state.term &&
      state.role == Role::kFollower &&
      (state.hard_state.voted_for.empty() ||
       state.hard_state.voted_for == message.from)) {
    reply.granted = true;
    state.hard_state.voted_for = message.from;
    effects.hard_state = state.hard_state;
    ResetElectionDeadline(state, now, random);
  }
  effects.send_after_sync.push_back(MakeMessage(state, message.from, reply));
}

void HandleVoteReply(ConsensusState& state,
                     const Message& message,
                     SteadyTime now,
                     std::mt19937_64& random,
                     Effects& effects) {
  const auto& reply = std::get<VoteReply>(message.body);
  if (!IsVoter(state.membership, message.from)) {
    return;
  }
  if (!IsMemberStorage(state.membership, message.from,
                       message.from_storage_id) ||
      message.from_suspended) {
    effects.refused.push_back(
        {message.from, message.from_storage_id, message.from_suspended});
    return;
  }
  CheckOwnDisk(state, reply.known, effects);
  if (message.term > state.hard_state.term) {
    EnterTerm(state, message.term, effects);
    return;
  }
  if (state.hard_state.suspended) {
    return;
  }
  const Role wanted = reply.pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const uint64_t election_term =
      state.hard_state.term + (reply.pre_vote ? 1 : 0);
  if (!reply.granted || state.role != wanted ||
      reply.requested_term != election_term) {
    return;
  }
  if (IsRolledBack(state, message, reply.acknowledged)) {
    if (!reply.pre_vote) {
      ReportRolledBack(state, message, election_term, effects);
    }
    return;
  }
  state.votes[message.from] = message.from_storage_id;
  if (!HasQuorumOfVotes(state)) {
    return;
  }
  if (reply.pre_vote) {
    StartElection(state, /*transfer=*/false, now, random, effects);
  } else {
    FinishElection(state, now, effects);
  }
}

void HandleTimeoutNow(ConsensusState& state,
                      SteadyTime now,
                      std::mt19937_64& random,
                      Effects& effects) {
  if (state.role == Role::kFollower && MayCampaign(state) &&
      now >= state.votes_refused_until) {
    StartElection(state, /*transfer=*/true, now, random, effects);
  }
}

}  // namespace gooseberryrock::consensus
