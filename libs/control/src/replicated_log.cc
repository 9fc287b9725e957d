// Runtime of the replicated log on a control VM.

#include "gooseberryrock/control/replicated_log.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "consensus.pb.h"
#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_consensus.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/storage/identity.h"
#include "gooseberryrock/storage/log_store.h"
#include "gooseberryrock/storage/storage_error.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock::control {

namespace {

using consensus::ProposalId;

struct SubmitEvent {
  std::string payload;
  ReplicatedLog::DoneHandler done;
};

struct MembershipEvent {
  consensus::MembershipChange change;
  ReplicatedLog::DoneHandler done;
};

struct ReadEvent {
  std::function<std::string()> read;
  ReplicatedLog::DoneHandler done;
};

struct MessageEvent {
  std::string body;
};

struct TransferEvent {};

using Event = std::variant<SubmitEvent,
                           MembershipEvent,
                           ReadEvent,
                           MessageEvent,
                           TransferEvent>;

// Delay before a failed data folder is reopened. Recovers from a full or
// hanging disk without an operator.
constexpr Duration kReopenInterval = std::chrono::milliseconds(500);

SteadyTime Now() {
  return BootTime();
}

std::string RejectReasonName(consensus::RejectReason reason) {
  switch (reason) {
    case consensus::RejectReason::kNone:
      return "";
    case consensus::RejectReason::kNotLeader:
      return "not the leader";
    case consensus::RejectReason::kTransferringLeadership:
      return "the leadership is being transferred";
    case consensus::RejectReason::kPayloadTooLarge:
      return "the entry is too large";
    case consensus::RejectReason::kReplaced:
      return "another entry was committed instead";
    case consensus::RejectReason::kChangeInProgress:
      return "another membership change is under way";
    case consensus::RejectReason::kUnknownMember:
      return "the VM is not a member";
    case consensus::RejectReason::kAlreadyMember:
      return "the VM is a member already";
    case consensus::RejectReason::kNotCaughtUp:
      return "the learner has not caught up";
    case consensus::RejectReason::kLastVoter:
      return "the last voter cannot be removed";
  }
  return "unknown reason";
}

// Returns whether a retry of the same entry, here or at another VM, may
// succeed.
bool IsTransient(consensus::RejectReason reason) {
  return reason == consensus::RejectReason::kNotLeader ||
         reason == consensus::RejectReason::kTransferringLeadership ||
         reason == consensus::RejectReason::kReplaced;
}

void LogLeadership(const NodeId& self,
                   const consensus::LeadershipChange& change) {
  telemetry::LogEvent(telemetry::LogLevel::kInfo, "leadership_changed",
                      {{"node", self.value},
                       {"leader", change.leader.value},
                       {"term", std::to_string(change.term)}});
}

}  // namespace

struct ReplicatedLog::Impl {
  Impl(const ReplicatedLogOptions& log_options,
       StateMachine state_machine,
       MessageSender sender)
      : options(log_options),
        machine(std::move(state_machine)),
        send(std::move(sender)),
        random(std::random_device{}()),
        files(options.open_files()),
        identity(storage::LoadOrCreateIdentity(files,
                                               options.data_folder,
                                               options.cluster,
                                               options.self,
                                               random)) {
    Open();
    thread = std::thread([this] { Run(); });
  }

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
    }
    changed.notify_all();
    thread.join();
  }

  // Loads the state from the data folder. Throws StorageError.
  void Open() {
    store.emplace(options.open_files(), options.data_folder);
    const auto initial =
        options.initial_members.empty()
            ? consensus::Membership()
            : consensus::InitialMembership(options.initial_members);
    consensus::StoredState stored = store->Load(initial);
    machine.reset();
    if (stored.snapshot.last.index > 0) {
      machine.restore(stored.snapshot.data);
    }
    for (const consensus::LogEntry& it : stored.entries) {
      if (machine.on_stored && it.kind == consensus::EntryKind::kCommand &&
          it.position.index > stored.hard_state.commit_index) {
        machine.on_stored(it.payload);
      }
    }
    telemetry::LogEvent(
        telemetry::LogLevel::kInfo, "storage_opened",
        {{"node", options.self.value},
         {"storage_id", identity.storage_id},
         {"snapshot_index", std::to_string(stored.snapshot.last.index)},
         {"entries", std::to_string(stored.entries.size())}});
    state = consensus::StartConsensus(options.self, identity.storage_id,
                                      std::move(stored), options.config, Now(),
                                      random);
    PublishStatus();
  }

  void Post(Event event) {
    {
      std::lock_guard lock(mutex);
      events.push_back(std::move(event));
    }
    changed.notify_all();
  }

  // Applies the stored entries that are known to be committed, so that the VM
  // can serve them before a leader is elected.
  void ApplyStored() {
    try {
      ExecuteEffects(consensus::Tick(state, Now(), random));
    } catch (const storage::StorageError& e) {
      FailStorage(e);
    }
    PublishStatus();
  }

  void Run() {
    ApplyStored();
    while (auto batch = NextBatch()) {
      try {
        HandleBatch(*batch);
      } catch (const storage::StorageError& e) {
        FailStorage(e);
        RejectAll(*batch);
      }
      PublishStatus();
    }
    CompletePending();
    RejectWaiting();
  }

  // Events that arrived after the last batch.
  void RejectWaiting() {
    std::vector<Event> waiting;
    {
      std::lock_guard lock(mutex);
      waiting = std::exchange(events, {});
    }
    RejectAll(waiting);
  }

  // Waits for events or the next tick. Returns nullopt when the log stops.
  std::optional<std::vector<Event>> NextBatch() {
    std::unique_lock lock(mutex);
    const auto wanted = [this] { return stopping || !events.empty(); };
    if (storage_failed) {
      changed.wait_for(lock, kReopenInterval, wanted);
    } else {
      changed.wait_for(lock, consensus::NextTick(state) - Now(), wanted);
    }
    if (stopping) {
      return std::nullopt;
    }
    return std::exchange(events, {});
  }

  // Takes the handlers of the events that it has handled.
  void HandleBatch(std::vector<Event>& batch) {
    if (storage_failed) {
      RejectAll(batch);
      if (Now() >= reopen_at) {
        reopen_at = Now() + kReopenInterval;
        Open();
        storage_failed = false;
        ExecuteEffects(consensus::Tick(state, Now(), random));
        telemetry::LogEvent(telemetry::LogLevel::kInfo, "storage_regained",
                            {{"node", options.self.value}});
      }
      return;
    }
    std::vector<consensus::Proposal> proposals;
    for (Event& event : batch) {
      if (auto* submit = std::get_if<SubmitEvent>(&event)) {
        const ProposalId id =
            RegisterPending(std::exchange(submit->done, nullptr));
        proposals.push_back({id, std::move(submit->payload)});
      } else {
        std::visit([this](auto& it) { Handle(it); }, event);
      }
    }
    if (!proposals.empty()) {
      ExecuteEffects(consensus::Propose(state, std::move(proposals), Now()));
    }
    if (Now() >= consensus::NextTick(state)) {
      ExecuteEffects(consensus::Tick(state, Now(), random));
    }
    if (consensus::IsSnapshotDue(state)) {
      ExecuteEffects(consensus::TakeSnapshot(state, machine.snapshot()));
    }
  }

  // HandleBatch() proposes all submitted entries of a batch at once.
  void Handle(SubmitEvent& /*event*/) {}

  void Handle(MembershipEvent& event) {
    event.change.id = RegisterPending(std::exchange(event.done, nullptr));
    ExecuteEffects(consensus::ChangeMembership(state, event.change, Now()));
  }

  void Handle(ReadEvent& event) {
    SubmitResult result;
    result.leader = state.leader;
    std::string data = event.read();
    // Checked after the read, so that a pause between read and check is
    // detected.
    if (consensus::HasLease(state, Now())) {
      result.status = SubmitStatus::kDone;
      result.result = std::move(data);
    }
    std::exchange(event.done, nullptr)(std::move(result));
  }

  void Handle(MessageEvent& event) {
    try {
      ExecuteEffects(consensus::HandleMessage(
          state,
          proto::FromMessage(proto::Parse<proto::ConsensusMessage>(event.body)),
          Now(), random));
    } catch (const proto::MalformedMessageError& e) {
      telemetry::LogEvent(telemetry::LogLevel::kWarning,
                          "consensus_message_refused", {{"error", e.what()}});
    }
  }

  void Handle(TransferEvent& /*event*/) {
    ExecuteEffects(consensus::TransferLeadership(state, Now()));
  }

  // Returns the handler of a call that has no outcome yet.
  static DoneHandler TakeHandler(Event& event) {
    if (auto* submit = std::get_if<SubmitEvent>(&event)) {
      return std::exchange(submit->done, nullptr);
    }
    if (auto* change = std::get_if<MembershipEvent>(&event)) {
      return std::exchange(change->done, nullptr);
    }
    if (auto* read = std::get_if<ReadEvent>(&event)) {
      return std::exchange(read->done, nullptr);
    }
    return nullptr;
  }

  // Ends the calls of a batch that were not handled, as not run.
  static void RejectAll(std::vector<Event>& batch) {
    for (Event& event : batch) {
      if (const DoneHandler done = TakeHandler(event)) {
        done({});
      }
    }
  }

  ProposalId RegisterPending(DoneHandler done) {
    const ProposalId id = next_proposal++;
    pending[id] = std::move(done);
    return id;
  }

  // Executes `effects` and the effects that follow from their syncs.
  void ExecuteEffects(consensus::Effects effects) {
    while (true) {
      Send(effects.send_at_once);
      storage::Persist(*store, effects, options.config);
      Send(effects.send_after_sync);
      ApplyCommitted(effects);
      Report(effects);
      if (!effects.sync) {
        return;
      }
      effects = consensus::OnPersisted(state, *effects.sync, Now());
    }
  }

  void Send(const std::vector<consensus::Message>& messages) {
    for (const consensus::Message& message : messages) {
      send(message.to, proto::ToMessage(message).SerializeAsString());
    }
  }

  void ApplyCommitted(const consensus::Effects& effects) {
    if (effects.restore) {
      machine.restore(effects.restore->data);
    }
    std::map<uint64_t, std::string> results;
    for (const consensus::LogEntry& entry : effects.committed) {
      if (entry.kind == consensus::EntryKind::kCommand) {
        results[entry.position.index] = machine.apply(entry.payload);
      }
    }
    for (const consensus::ProposalOutcome& outcome : effects.outcomes) {
      Answer(outcome, std::move(results[outcome.position.index]));
    }
  }

  void Answer(const consensus::ProposalOutcome& outcome, std::string result) {
    auto it = pending.find(outcome.id);
    if (it == pending.end()) {
      return;
    }
    SubmitResult answer;
    answer.leader = state.leader;
    if (outcome.status == consensus::ProposalStatus::kCommitted) {
      answer.status = SubmitStatus::kDone;
      answer.result = std::move(result);
    } else if (outcome.status == consensus::ProposalStatus::kUnknown) {
      answer.status = SubmitStatus::kUnknown;
    } else if (!IsTransient(outcome.reason)) {
      answer.status = SubmitStatus::kRejected;
      answer.result = RejectReasonName(outcome.reason);
    }
    it->second(std::move(answer));
    pending.erase(it);
  }

  void Report(const consensus::Effects& effects) {
    if (effects.leadership) {
      LogLeadership(options.self, *effects.leadership);
      if (effects.leadership->role != consensus::Role::kLeader) {
        CompletePending();
      }
    }
    for (const consensus::RefusedStorage& it : effects.refused) {
      telemetry::LogEvent(telemetry::LogLevel::kError, "storage_refused",
                          {{"node", it.node.value},
                           {"storage_id", it.storage_id},
                           {"rolled_back", it.rolled_back ? "true" : "false"}});
    }
  }

  // Pending proposals may still be committed by another leader.
  void CompletePending() {
    for (auto& [id, done] : std::exchange(pending, {})) {
      SubmitResult answer;
      answer.status = SubmitStatus::kUnknown;
      answer.leader = state.leader;
      done(std::move(answer));
    }
  }

  void FailStorage(const storage::StorageError& error) {
    telemetry::LogEvent(
        telemetry::LogLevel::kError, "storage_failed",
        {{"node", options.self.value}, {"error", error.what()}});
    storage_failed = true;
    reopen_at = Now() + kReopenInterval;
    CompletePending();
  }

  void PublishStatus() {
    LogStatus now;
    now.leader = storage_failed ? NodeId() : state.leader;
    if (!storage_failed) {
      now.contact_at =
          consensus::HasLease(state, Now()) ? Now() : state.leader_contact_at;
    }
    now.term = state.hard_state.term;
    now.commit_index = state.commit_index;
    now.membership = state.membership;
    now.caught_up = consensus::CaughtUpMembers(state);
    now.storage_failed = storage_failed;
    now.suspended = state.hard_state.suspended;
    {
      std::lock_guard lock(mutex);
      status = std::move(now);
    }
    changed.notify_all();
  }

  const ReplicatedLogOptions options;
  const StateMachine machine;
  const MessageSender send;

  // Used by the log's thread only, after the constructor.
  std::mt19937_64 random;
  const storage::FileOperations files;
  const storage::Identity identity;
  std::optional<storage::LogStore> store;
  consensus::ConsensusState state;
  std::map<ProposalId, DoneHandler> pending;
  ProposalId next_proposal = 1;
  bool storage_failed = false;
  SteadyTime reopen_at;

  mutable std::mutex mutex;
  // Guarded by `mutex`.
  std::vector<Event> events;
  LogStatus status;
  bool stopping = false;
  std::condition_variable changed;

  std::thread thread;
};

ReplicatedLog::ReplicatedLog(const ReplicatedLogOptions& options,
                             StateMachine machine,
                             MessageSender send)
    : impl_(std::make_unique<Impl>(options,
                                   std::move(machine),
                                   std::move(send))) {}

ReplicatedLog::~ReplicatedLog() = default;

void ReplicatedLog::Submit(std::string payload, DoneHandler done) {
  impl_->Post(SubmitEvent{std::move(payload), std::move(done)});
}

void ReplicatedLog::ChangeMembership(consensus::MembershipChange change,
                                     DoneHandler done) {
  impl_->Post(MembershipEvent{std::move(change), std::move(done)});
}

void ReplicatedLog::Read(std::function<std::string()> read, DoneHandler done) {
  impl_->Post(ReadEvent{std::move(read), std::move(done)});
}

void ReplicatedLog::OnMessage(std::string body) {
  impl_->Post(MessageEvent{std::move(body)});
}

LogStatus ReplicatedLog::Status() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->status;
}

const std::string& ReplicatedLog::storage_id() const {
  return impl_->identity.storage_id;
}

void ReplicatedLog::TransferLeadership() {
  impl_->Post(TransferEvent{});
  std::unique_lock lock(impl_->mutex);
  const auto& self = impl_->options.self;
  impl_->changed.wait_for(lock, impl_->options.config.election_timeout_min,
                          [&] { return impl_->status.leader != self; });
}

}  // namespace gooseberryrock::control
