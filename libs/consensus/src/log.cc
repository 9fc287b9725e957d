// Operations on the log of a ConsensusState.

#include "log.h"

#include <algorithm>
#include <utility>

#include "gooseberryrock/consensus/consensus.h"

namespace gooseberryrock::consensus {

namespace {

void RecomputeMembership(ConsensusState& state) {
  state.membership = state.snapshot.membership;
  state.membership_index = state.snapshot.last.index;
  for (auto it = state.entries.rbegin(); it != state.entries.rend(); ++it) {
    if (it->kind == EntryKind::kMembership &&
        it->position.index > state.snapshot.last.index) {
      state.membership = it->membership;
      state.membership_index = it->position.index;
      return;
    }
  }
}

void CompleteProposal(ConsensusState& state,
                      const Position& committed,
                      Effects& effects) {
  auto it = state.pending.find(committed.index);
  if (it == state.pending.end()) {
    return;
  }
  if (it->second.term == committed.term) {
    effects.outcomes.push_back({it->second.id, ProposalStatus::kCommitted,
                                RejectReason::kNone, committed});
  } else {
    effects.outcomes.push_back({it->second.id, ProposalStatus::kNotRun,
                                RejectReason::kReplaced, committed});
  }
  state.pending.erase(it);
}

}  // namespace

uint64_t LastIndex(const ConsensusState& state) {
  return state.log_start.index + state.entries.size();
}

Position LastPosition(const ConsensusState& state) {
  return state.entries.empty() ? state.log_start
                               : state.entries.back().position;
}

std::optional<uint64_t> TermAt(const ConsensusState& state, uint64_t index) {
  if (index == state.log_start.index) {
    return state.log_start.term;
  }
  if (index < state.log_start.index || index > LastIndex(state)) {
    return std::nullopt;
  }
  return EntryAt(state, index).position.term;
}

const LogEntry& EntryAt(const ConsensusState& state, uint64_t index) {
  return state.entries[index - state.log_start.index - 1];
}

void AppendEntry(ConsensusState& state, LogEntry entry, Effects& effects) {
  if (entry.kind == EntryKind::kMembership) {
    state.membership = entry.membership;
    state.membership_index = entry.position.index;
  }
  effects.append.push_back(entry);
  state.entries.push_back(std::move(entry));
}

void TruncateFrom(ConsensusState& state, uint64_t index, Effects& effects) {
  while (LastIndex(state) >= index) {
    state.entries.pop_back();
  }
  state.synced_index = std::min(state.synced_index, index - 1);
  effects.truncate_from = index;
  if (state.membership_index >= index) {
    RecomputeMembership(state);
  }
}

Membership MembershipAt(const ConsensusState& state, uint64_t index) {
  for (uint64_t i = index; i > state.snapshot.last.index; --i) {
    const LogEntry& entry = EntryAt(state, i);
    if (entry.kind == EntryKind::kMembership) {
      return entry.membership;
    }
  }
  return state.snapshot.membership;
}

void CompactLog(ConsensusState& state, Snapshot snapshot, uint64_t retained) {
  const Position last = snapshot.last;
  state.snapshot = std::move(snapshot);
  if (TermAt(state, last.index) != last.term) {
    state.entries.clear();
    state.log_start = last;
    state.synced_index = std::min(state.synced_index, last.index);
  }
  while (state.log_start.index + retained < last.index &&
         !state.entries.empty()) {
    state.log_start = state.entries.front().position;
    state.entries.pop_front();
  }
  RecomputeMembership(state);
}

void CommitTo(ConsensusState& state, uint64_t index, Effects& effects) {
  while (state.commit_index < index) {
    const LogEntry& entry = EntryAt(state, ++state.commit_index);
    effects.committed.push_back(entry);
    CompleteProposal(state, entry.position, effects);
  }
  state.hard_state.commit_index =
      std::max(state.hard_state.commit_index, state.commit_index);
}

void Acknowledge(ConsensusState& state, uint64_t index, Effects& effects) {
  const Acknowledgement acknowledged = {state.hard_state.term, index};
  if (state.hard_state.suspended ||
      acknowledged <= state.hard_state.acknowledged) {
    return;
  }
  state.hard_state.acknowledged = acknowledged;
  effects.hard_state = state.hard_state;
}

void RecordAcknowledged(ConsensusState& state,
                        const std::string& storage_id,
                        const Acknowledgement& acknowledged) {
  Acknowledgement& known = state.known_acknowledged[storage_id];
  if (known < acknowledged) {
    known = acknowledged;
    ++state.known_acknowledged_version;
  }
}

Acknowledgement KnownAcknowledged(const ConsensusState& state,
                                  const std::string& storage_id) {
  auto it = state.known_acknowledged.find(storage_id);
  return it == state.known_acknowledged.end() ? Acknowledgement{} : it->second;
}

}  // namespace gooseberryrock::consensus
