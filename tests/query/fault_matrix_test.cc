// Injects every fault at every step of a query, alone and in pairs, for
// idempotent and non-idempotent requests, and checks the answer against the
// executions at a fake server.

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <map>
#include <string>

#include "gooseberryrock/query/admission.h"
#include "gooseberryrock/query/attempt_budget.h"
#include "gooseberryrock/query/query_machine.h"

namespace gooseberryrock::query {
namespace {

using std::chrono::milliseconds;

enum class Step {
  kBeforeAdmission,
  kQueued,
  kConnecting,
  kSent,
  kHalfReply,
  kMerging,
  kReplying,
};
enum class Fault {
  kNone,
  kServerLost,
  kConnectionLost,
  kConnectionSilent,
  kRefused,
  kSnapshotLost,
  kWrongSnapshot,
  kDuplicateReply,
  kDeadline,
};
constexpr int kSteps = 7;
constexpr int kFaults = 9;
constexpr size_t kShards = 3;
constexpr Snapshot kPinned{1, 10};
constexpr Snapshot kNewer{1, 11};

struct InjectedFault {
  Step step = Step::kSent;
  Fault fault = Fault::kNone;
};

// Runs one query. The n-th fault is injected into the n-th attempt for shard 0;
// all other attempts succeed.
class MatrixRun {
 public:
  MatrixRun(bool idempotent, std::array<InjectedFault, 2> faults)
      : faults_(faults) {
    state_.request.idempotent = idempotent;
    state_.request.row_limit = 100;
    state_.request.deadline = now_ + milliseconds(200);
    state_.policy.hedge_delay = milliseconds(20);
    state_.plan = PlanAt(kPinned);
  }

  void Run() {
    if (!Admit()) {
      answer_ = NotRun(AnswerReason::kOverloaded);
      return;
    }
    ApplyEffects(StartQuery(state_, ids_, budget_, now_));
    // Attempts without a reply reach the hedge delay and then the deadline.
    for (const milliseconds time : {milliseconds(20), milliseconds(195)}) {
      if (!answer_) {
        now_ = state_.started + time;
        ApplyEffects(OnTimer(state_, ids_, budget_, now_));
      }
    }
  }

  void Check(const std::string& name) const {
    ASSERT_TRUE(answer_) << name;
    EXPECT_EQ(answers_, answer_->reason == AnswerReason::kOverloaded ? 0 : 1)
        << name;
    if (answer_->status == AnswerStatus::kNotRun) {
      EXPECT_EQ(executions_, 0) << name;
    }
    if (!state_.request.idempotent) {
      EXPECT_LE(executions_, 1) << name;
    }
    for (const std::string& row : answer_->rows) {
      EXPECT_EQ(row, std::to_string(answer_->snapshot.index_version)) << name;
    }
    if (answer_->status == AnswerStatus::kComplete) {
      EXPECT_TRUE(answer_->missing_shards.empty()) << name;
      EXPECT_EQ(answer_->rows.size(), answer_->shards_total) << name;
    }
    if (answer_->status == AnswerStatus::kPartial) {
      EXPECT_EQ(answer_->rows.size() + answer_->missing_shards.size(),
                answer_->shards_total)
          << name;
    }
    EXPECT_TRUE(state_.attempts.empty()) << name;
    EXPECT_TRUE(open_.empty()) << name << ": an attempt was not cancelled";
  }

 private:
  QueryPlan PlanAt(Snapshot snapshot) const {
    const size_t n = state_.request.idempotent ? kShards : 1;
    QueryPlan plan{snapshot, {}, n};
    for (size_t i = 0; i < n; ++i) {
      plan.shards.push_back({std::to_string(i)});
    }
    return plan;
  }

  bool Meets(Step step, Fault fault) const {
    return faults_[0].step == step && faults_[0].fault == fault;
  }

  bool Admit() {
    AdmissionState admission;
    const AdmissionPolicy policy;
    const bool queued = faults_[0].step == Step::kQueued;
    if (queued) {
      OnQueryArrived(admission, policy, Rank::kUrgent, 1,
                     state_.request.deadline, now_);
    }
    if (Meets(Step::kBeforeAdmission, Fault::kDeadline)) {
      now_ += milliseconds(300);
    }
    auto effects = OnQueryArrived(admission, policy, Rank::kUrgent, 2,
                                  state_.request.deadline, now_);
    if (queued && effects.refuse.empty()) {
      now_ += milliseconds(faults_[0].fault == Fault::kDeadline ? 300 : 10);
      effects = OnQueryEnded(admission, policy, Rank::kUrgent, milliseconds(10),
                             now_);
    }
    return !effects.start.empty();
  }

  void ApplyEffects(QueryEffects effects) {
    for (const AttemptToCancel& it : effects.cancel) {
      open_.erase(it.id);
    }
    if (effects.answer) {
      ++answers_;
      answer_ = std::move(effects.answer);
    }
    for (const AttemptToSend& it : effects.send) {
      if (OnAttemptRouted(state_, it.id, {"v" + std::to_string(it.id)}, now_)) {
        open_[it.id] = it;
        Serve(it);
      }
    }
    if (effects.find_newer_snapshot) {
      ApplyEffects(OnNewerSnapshot(state_, PlanAt(kNewer), ids_, now_));
    }
  }

  void Fail(const AttemptToSend& it, AttemptFailure failure) {
    open_.erase(it.id);
    ApplyEffects(OnAttemptFailed(state_, it.id, failure, ids_, budget_, now_));
  }

  void Reply(const AttemptToSend& it, Snapshot snapshot, bool end) {
    open_.erase(it.id);
    ApplyEffects(OnReply(state_,
                         {it.id,
                          it.shard,
                          snapshot,
                          {std::to_string(snapshot.index_version)},
                          true,
                          end},
                         ids_, budget_, now_));
  }

  void Serve(const AttemptToSend& it) {
    InjectedFault injected;
    if (it.shard.value == "0" && next_fault_ < faults_.size()) {
      injected = faults_[next_fault_++];
    }
    const bool runs =
        injected.step >= Step::kSent || injected.fault == Fault::kNone;
    const bool refused = injected.fault == Fault::kRefused ||
                         injected.fault == Fault::kSnapshotLost;
    if (runs && !refused) {
      ++executions_;
    }
    ServeFault(it, injected, runs);
  }

  void ServeFault(const AttemptToSend& it,
                  const InjectedFault& injected,
                  bool runs) {
    const auto lost =
        runs ? AttemptFailure::kConnectionLost : AttemptFailure::kNotSent;
    const bool half = injected.step == Step::kHalfReply;
    switch (injected.fault) {
      case Fault::kNone:
        return Reply(it, it.snapshot, true);
      case Fault::kServerLost:
      case Fault::kConnectionLost:
        return half ? Reply(it, it.snapshot, false) : Fail(it, lost);
      case Fault::kConnectionSilent:
        return state_.request.idempotent
                   ? Fail(it, AttemptFailure::kConnectionSilent)
                   : void();
      case Fault::kRefused:
        return Fail(it, AttemptFailure::kRefused);
      case Fault::kSnapshotLost:
        return Fail(it, AttemptFailure::kNoSnapshot);
      case Fault::kWrongSnapshot:
        return runs ? Reply(it, {9, 99}, true) : Fail(it, lost);
      case Fault::kDuplicateReply:
        if (!runs) {
          return Fail(it, lost);
        }
        Reply(it, it.snapshot, true);
        return Reply(it, it.snapshot, true);
      case Fault::kDeadline:
        // No reply; the timers end the query.
        return;
    }
  }

  std::array<InjectedFault, 2> faults_;
  size_t next_fault_ = 0;
  SteadyTime now_{std::chrono::seconds(100)};
  QueryState state_;
  AttemptIdSource ids_;
  AttemptBudget budget_{.share = 0.1, .capacity = 20, .tokens = 5};
  std::map<AttemptId, AttemptToSend> open_;
  std::optional<Answer> answer_;
  int answers_ = 0;
  int executions_ = 0;
};

// Guards, for all pairs of faults, against an answer that mixes snapshots,
// misstates its coverage or says "not run" after an execution, and against
// running a non-idempotent request twice.
TEST(FaultMatrixTest, InvariantsHoldForAllPairs) {
  constexpr int kCases = kSteps * kFaults;
  int runs = 0;
  for (const bool idempotent : {true, false}) {
    for (int a = 0; a < kCases; ++a) {
      for (int b = 0; b < kCases; ++b) {
        const std::array<InjectedFault, 2> faults = {
            InjectedFault{static_cast<Step>(a / kFaults),
                          static_cast<Fault>(a % kFaults)},
            InjectedFault{static_cast<Step>(b / kFaults),
                          static_cast<Fault>(b % kFaults)}};
        MatrixRun run(idempotent, faults);
        run.Run();
        run.Check((idempotent ? "idempotent " : "once ") + std::to_string(a) +
                  "+" + std::to_string(b));
        ++runs;
      }
    }
  }
  std::printf("fault_matrix %d steps x %d faults, pairs: %d runs\n", kSteps,
              kFaults, runs);
}

}  // namespace
}  // namespace gooseberryrock::query
