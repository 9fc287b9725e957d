// Replication of entries and snapshots from the leader to the followers.

#include "replication.h"

#include <algorithm>
#include <utility>

#include "gooseberryrock/consensus/consensus.h"
#include "log.h"

namespace gooseberryrock::consensus {

namespace {

// Estimated encoded size of an entry without its payload, in bytes; counts
// towards max_append_bytes.
constexpr size_t kEntryOverhead = 32;

size_t EntriesInFlight(const Progress& progress) {
  return static_cast<size_t>(
      std::count_if(progress.in_flight.begin(), progress.in_flight.end(),
                    [](const InFlight& it) { return it.last_index != 0; }));
}

std::vector<LogEntry> NextEntries(const ConsensusState& state, uint64_t next) {
  std::vector<LogEntry> entries;
  size_t bytes = 0;
  for (uint64_t i = next; i <= LastIndex(state) &&
                          entries.size() < state.config.max_append_entries;
       ++i) {
    const LogEntry& entry = EntryAt(state, i);
    bytes += entry.payload.size() + kEntryOverhead;
    if (!entries.empty() && bytes > state.config.max_append_bytes) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

uint64_t RecordSent(ConsensusState& state,
                    Progress& progress,
                    uint64_t last_index,
                    SteadyTime now) {
  const uint64_t round = state.next_round++;
  progress.in_flight.push_back({round, now, last_index});
  progress.last_sent = now;
  return round;
}

void SendAppend(ConsensusState& state,
                const NodeId& node,
                Progress& progress,
                bool with_entries,
                SteadyTime now,
                Effects& effects) {
  AppendRequest request;
  // Position 0 matches in all logs; it is used for heartbeats to members that
  // need a snapshot.
  if (const auto term = TermAt(state, progress.next - 1)) {
    request.previous = {*term, progress.next - 1};
  }
  if (with_entries) {
    request.entries = NextEntries(state, progress.next);
    progress.next += request.entries.size();
  }
  request.commit_index = state.commit_index;
  if (progress.acknowledged_version != state.known_acknowledged_version ||
      now - progress.acknowledged_sent_at >=
          state.config.acknowledged_interval) {
    request.acknowledged = state.known_acknowledged;
    progress.acknowledged_version = state.known_acknowledged_version;
    progress.acknowledged_sent_at = now;
  }
  const uint64_t last_index = request.entries.empty() ? 0 : progress.next - 1;
  request.round = RecordSent(state, progress, last_index, now);
  effects.send_at_once.push_back(MakeMessage(state, node, std::move(request)));
}

void SendSnapshotChunk(ConsensusState& state,
                       const NodeId& node,
                       Progress& progress,
                       SteadyTime now,
                       Effects& effects) {
  const Snapshot& snapshot = state.snapshot;
  if (!progress.snapshot_offset || progress.snapshot_last != snapshot.last) {
    progress.snapshot_offset = 0;
    progress.snapshot_last = snapshot.last;
  }
  SnapshotRequest request;
  request.last = snapshot.last;
  request.membership = snapshot.membership;
  request.offset =
      std::min<uint64_t>(*progress.snapshot_offset, snapshot.data.size());
  request.total_size = snapshot.data.size();
  request.chunk = snapshot.data.substr(request.offset,
                                       state.config.max_snapshot_chunk_bytes);
  request.round = RecordSent(state, progress, snapshot.last.index, now);
  effects.send_at_once.push_back(MakeMessage(state, node, std::move(request)));
}

void SendNext(ConsensusState& state,
              const NodeId& node,
              Progress& progress,
              SteadyTime now,
              Effects& effects) {
  if (progress.unresponsive) {
    return;
  }
  if (!TermAt(state, progress.next - 1)) {
    if (EntriesInFlight(progress) == 0) {
      SendSnapshotChunk(state, node, progress, now, effects);
    }
    return;
  }
  progress.snapshot_offset.reset();
  const size_t limit = progress.probing ? 1 : state.config.max_in_flight;
  while (progress.next <= LastIndex(state) &&
         EntriesInFlight(progress) < limit) {
    SendAppend(state, node, progress, /*with_entries=*/true, now, effects);
  }
}

// Records a reply to request `round`. Returns false if the request is no longer
// outstanding because it was abandoned or already answered.
bool ConfirmRequest(Progress& progress, uint64_t round) {
  auto it = std::find_if(progress.in_flight.begin(), progress.in_flight.end(),
                         [&](const InFlight& f) { return f.round == round; });
  progress.unresponsive = false;
  if (it == progress.in_flight.end()) {
    return false;
  }
  progress.confirmed =
      std::max(progress.confirmed.value_or(it->sent_at), it->sent_at);
  progress.in_flight.erase(progress.in_flight.begin(), it + 1);
  return true;
}

// Restarts replication after `index`, with one append at a time.
void RestartReplication(Progress& progress, uint64_t index) {
  progress.probing = true;
  progress.in_flight.clear();
  progress.next = index + 1;
  progress.acknowledged_version = 0;
}

bool CountsTowardsQuorum(const Progress& progress) {
  return !progress.wrong_storage && !progress.rolled_back;
}

bool SelfCountsTowardsQuorum(const ConsensusState& state) {
  return IsMemberStorage(state.membership, state.self, state.storage_id);
}

// Checks the storage id and disk state of the sender of a reply, and reports
// newly detected problems. Returns false if the sender is excluded from
// quorums.
bool CheckStorage(ConsensusState& state,
                  Progress& progress,
                  const Message& message,
                  Effects& effects) {
  const bool known =
      IsMemberStorage(state.membership, message.from, message.from_storage_id);
  if (!known && !progress.wrong_storage) {
    effects.refused.push_back(
        {message.from, message.from_storage_id, /*rolled_back=*/false});
  }
  progress.wrong_storage = !known;
  if (known && message.from_suspended && !progress.rolled_back) {
    progress.rolled_back = true;
    effects.refused.push_back(
        {message.from, message.from_storage_id, /*rolled_back=*/true});
  }
  return CountsTowardsQuorum(progress);
}

void AdvanceMatch(ConsensusState& state,
                  const Message& message,
                  Progress& progress,
                  uint64_t index) {
  progress.match = std::max(progress.match, index);
  progress.next = std::max(progress.next, progress.match + 1);
  progress.probing = false;
  if (CountsTowardsQuorum(progress)) {
    RecordAcknowledged(state, message.from_storage_id,
                       {state.hard_state.term, index});
  }
}

// Returns the highest index at which the leader's log may match, after a
// mismatch at `previous`.
uint64_t LastPossibleMatch(const ConsensusState& state,
                           const Position& previous) {
  uint64_t index = LastIndex(state);
  if (previous.index > index) {
    return index;
  }
  // Skip all entries of the conflicting term.
  const uint64_t term = *TermAt(state, previous.index);
  index = previous.index;
  while (index > state.commit_index && TermAt(state, index) == term) {
    --index;
  }
  return index;
}

bool AreContiguous(const AppendRequest& request) {
  uint64_t index = request.previous.index;
  return std::all_of(
      request.entries.begin(), request.entries.end(),
      [&](const LogEntry& entry) { return entry.position.index == ++index; });
}

void InstallSnapshot(ConsensusState& state, Effects& effects) {
  Snapshot snapshot = std::move(state.incoming->snapshot);
  state.incoming.reset();
  const uint64_t index = snapshot.last.index;
  effects.install_snapshot = snapshot;
  effects.restore = snapshot;
  CompactLog(state, std::move(snapshot), /*retained=*/0);
  state.commit_index = index;
  state.hard_state.commit_index = index;
  // Whether the snapshot contains these proposals is unknown.
  while (!state.pending.empty() && state.pending.begin()->first <= index) {
    effects.outcomes.push_back({state.pending.begin()->second.id,
                                ProposalStatus::kUnknown,
                                RejectReason::kNone,
                                {}});
    state.pending.erase(state.pending.begin());
  }
}

}  // namespace

Message MakeMessage(const ConsensusState& state,
                    const NodeId& to,
                    MessageBody body) {
  Message message;
  message.from = state.self;
  message.to = to;
  message.term = state.hard_state.term;
  message.from_storage_id = state.storage_id;
  auto it = state.membership.members.find(to);
  if (it != state.membership.members.end()) {
    message.to_storage_id = it->second.storage_id;
  }
  message.from_suspended = state.hard_state.suspended;
  message.body = std::move(body);
  return message;
}

void StepDown(ConsensusState& state) {
  state.role = Role::kFollower;
  state.leader = {};
  state.votes.clear();
  state.progress.clear();
  state.transferring = false;
  state.timeout_now_sent = false;
}

void CheckOwnDisk(ConsensusState& state,
                  const Acknowledgement& known,
                  Effects& effects) {
  if (known > state.hard_state.acknowledged && !state.hard_state.suspended) {
    state.hard_state.suspended = true;
    effects.hard_state = state.hard_state;
    effects.refused.push_back(
        {state.self, state.storage_id, /*rolled_back=*/true});
    if (state.role != Role::kFollower) {
      StepDown(state);
    }
  }
}

void UpdateProgress(ConsensusState& state, SteadyTime now) {
  std::erase_if(state.progress, [&](const auto& it) {
    return state.membership.members.count(it.first) == 0;
  });
  for (const auto& [node, member] : state.membership.members) {
    if (node != state.self && state.progress.count(node) == 0) {
      Progress& progress = state.progress[node];
      progress.next = LastIndex(state) + 1;
      progress.last_sent = now;
    }
  }
}

void SendToAll(ConsensusState& state, SteadyTime now, Effects& effects) {
  for (auto& [node, progress] : state.progress) {
    SendNext(state, node, progress, now, effects);
  }
}

void TickReplication(ConsensusState& state, SteadyTime now, Effects& effects) {
  for (auto& [node, progress] : state.progress) {
    if (!progress.in_flight.empty() &&
        now - progress.in_flight.front().sent_at >=
            state.config.resend_interval) {
      RestartReplication(progress, progress.match);
      progress.unresponsive = true;
    }
    SendNext(state, node, progress, now, effects);
    if (now - progress.last_sent >= state.config.heartbeat_interval) {
      SendAppend(state, node, progress, /*with_entries=*/false, now, effects);
    }
  }
}

bool IsConfirmedSince(const ConsensusState& state, SteadyTime time) {
  std::set<NodeId> voters;
  if (SelfCountsTowardsQuorum(state)) {
    voters.insert(state.self);
  }
  for (const auto& [node, progress] : state.progress) {
    if (CountsTowardsQuorum(progress) && progress.confirmed &&
        *progress.confirmed > time) {
      voters.insert(node);
    }
  }
  return IsQuorum(state.membership, voters);
}

void AdvanceCommit(ConsensusState& state, Effects& effects) {
  if (state.role != Role::kLeader) {
    return;
  }
  for (uint64_t index = LastIndex(state); index > state.commit_index; --index) {
    // An entry of an earlier term may still be replaced although a quorum has
    // it. It is committed indirectly by a later entry of this term.
    if (TermAt(state, index) != state.hard_state.term) {
      return;
    }
    std::set<NodeId> voters;
    if (SelfCountsTowardsQuorum(state) && state.synced_index >= index) {
      voters.insert(state.self);
    }
    for (const auto& [node, progress] : state.progress) {
      if (CountsTowardsQuorum(progress) && progress.match >= index) {
        voters.insert(node);
      }
    }
    if (IsQuorum(state.membership, voters)) {
      CommitTo(state, index, effects);
      break;
    }
  }
  if (state.membership_index <= state.commit_index &&
      !IsVoter(state.membership, state.self)) {
    StepDown(state);
  }
}

void HandleAppendRequest(ConsensusState& state,
                         Message message,
                         Effects& effects) {
  auto& request = std::get<AppendRequest>(message.body);
  if (!AreContiguous(request)) {
    return;
  }
  for (const auto& [storage_id, acknowledged] : request.acknowledged) {
    if (storage_id == state.storage_id) {
      CheckOwnDisk(state, acknowledged, effects);
    }
    RecordAcknowledged(state, storage_id, acknowledged);
  }
  AppendReply reply;
  reply.round = request.round;
  // Committed entries are identical in all logs and need no comparison.
  const Position& previous = request.previous;
  if (previous.index > state.commit_index &&
      TermAt(state, previous.index) != previous.term) {
    reply.index = LastPossibleMatch(state, previous);
  } else {
    reply.accepted = true;
    reply.index = previous.index + request.entries.size();
    for (LogEntry& entry : request.entries) {
      const uint64_t index = entry.position.index;
      if (index <= state.commit_index ||
          TermAt(state, index) == entry.position.term) {
        continue;
      }
      if (index <= LastIndex(state)) {
        TruncateFrom(state, index, effects);
      }
      AppendEntry(state, std::move(entry), effects);
    }
    CommitTo(state, std::min(request.commit_index, reply.index), effects);
    Acknowledge(state, reply.index, effects);
  }
  effects.send_after_sync.push_back(MakeMessage(state, message.from, reply));
}

void HandleSnapshotRequest(ConsensusState& state,
                           Message message,
                           Effects& effects) {
  auto& request = std::get<SnapshotRequest>(message.body);
  SnapshotReply reply;
  reply.last = request.last;
  reply.round = request.round;
  if (request.last.index <= state.commit_index) {
    reply.installed = true;
  } else {
    auto& incoming = state.incoming;
    if (!incoming || incoming->snapshot.last != request.last) {
      incoming = {{request.last, std::move(request.membership), ""},
                  request.total_size};
    }
    std::string& data = incoming->snapshot.data;
    if (request.offset == data.size()) {
      data += request.chunk;
    }
    reply.next_offset = data.size();
    if (data.size() >= incoming->total_size) {
      InstallSnapshot(state, effects);
      reply.installed = true;
    }
  }
  if (reply.installed) {
    Acknowledge(state, request.last.index, effects);
  }
  effects.send_after_sync.push_back(MakeMessage(state, message.from, reply));
}

void HandleAppendReply(ConsensusState& state,
                       const Message& message,
                       SteadyTime now,
                       Effects& effects) {
  const auto& reply = std::get<AppendReply>(message.body);
  auto it = state.progress.find(message.from);
  if (it == state.progress.end()) {
    return;
  }
  Progress& progress = it->second;
  const bool counted = CheckStorage(state, progress, message, effects);
  const bool outstanding = ConfirmRequest(progress, reply.round);
  if (progress.wrong_storage) {
    progress.confirmed.reset();
    return;
  }
  if (reply.accepted) {
    AdvanceMatch(state, message, progress, reply.index);
    if (counted) {
      AdvanceCommit(state, effects);
    }
  } else if (outstanding) {
    // The log on a rolled back disk may end before its last acknowledgement.
    const uint64_t lowest = counted ? progress.match : 0;
    RestartReplication(
        progress, std::max(lowest, std::min(reply.index, progress.next - 1)));
  }
  if (state.role == Role::kLeader) {
    SendNext(state, message.from, progress, now, effects);
    ContinueTransfer(state, effects);
  }
}

void HandleSnapshotReply(ConsensusState& state,
                         const Message& message,
                         SteadyTime now,
                         Effects& effects) {
  const auto& reply = std::get<SnapshotReply>(message.body);
  auto it = state.progress.find(message.from);
  if (it == state.progress.end()) {
    return;
  }
  Progress& progress = it->second;
  CheckStorage(state, progress, message, effects);
  ConfirmRequest(progress, reply.round);
  if (progress.wrong_storage) {
    progress.confirmed.reset();
    return;
  }
  if (reply.installed) {
    progress.snapshot_offset.reset();
    AdvanceMatch(state, message, progress, reply.last.index);
  } else if (progress.snapshot_offset && reply.last == progress.snapshot_last) {
    progress.snapshot_offset = reply.next_offset;
  }
  SendNext(state, message.from, progress, now, effects);
}

void ContinueTransfer(ConsensusState& state, Effects& effects) {
  if (!state.transferring || state.timeout_now_sent) {
    return;
  }
  for (const auto& [node, progress] : state.progress) {
    if (IsVoter(state.membership, node) && CountsTowardsQuorum(progress) &&
        progress.match == LastIndex(state)) {
      effects.send_at_once.push_back(MakeMessage(state, node, TimeoutNow{}));
      state.timeout_now_sent = true;
      return;
    }
  }
}

}  // namespace gooseberryrock::consensus
