// Watches the membership of the replicated log on a control VM.

#include "member_maintenance.h"

#include <string>
#include <utility>

#include "control_peers.h"
#include "gooseberryrock/control/log_status.h"
#include "gooseberryrock/control/membership_view.h"
#include "gooseberryrock/control/replicated_log.h"
#include "gooseberryrock/telemetry/log_event.h"

namespace gooseberryrock::control {

namespace {

using telemetry::LogLevel;

const char* ActionName(consensus::MembershipAction action) {
  switch (action) {
    case consensus::MembershipAction::kAddLearner:
      return "add";
    case consensus::MembershipAction::kPromote:
      return "promote";
    case consensus::MembershipAction::kRemove:
      return "remove";
  }
  return "unknown";
}

}  // namespace

MemberMaintenance::MemberMaintenance(const NodeId& self,
                                     uint32_t tolerated_losses,
                                     const RepairPolicy& policy,
                                     const ControlPeers& peers,
                                     ReplicatedLog& log,
                                     SteadyTime now)
    : self_(self),
      tolerated_losses_(tolerated_losses),
      policy_(policy),
      peers_(peers),
      log_(log),
      started_at_(now),
      listening_since_(now),
      last_check_(now) {}

void MemberMaintenance::Check(SteadyTime now) {
  // While this VM was suspended it received no hellos.
  if (now - last_check_ >= policy_.presence_timeout) {
    std::lock_guard lock(mutex_);
    listening_since_ = now;
  }
  last_check_ = now;
  const LogStatus status = log_.Status();
  const MembershipView view = ViewOf(status, now);
  LogVoterChanges(view, status.leader);
  Repair(view, status.leader);
}

VoterHealth MemberMaintenance::Assess(SteadyTime now) const {
  return AssessVoters(ViewOf(log_.Status(), now), policy_);
}

bool MemberMaintenance::IsHandingOver(SteadyTime now) {
  return AwaitsSuccessor(ViewOf(log_.Status(), now), policy_, promoted_at_);
}

MembershipView MemberMaintenance::ViewOf(const LogStatus& status,
                                         SteadyTime now) const {
  std::lock_guard lock(mutex_);
  return {self_,
          status.membership,
          status.caught_up,
          peers_.Contacts(),
          listening_since_,
          now};
}

// Without these lines a log that has lost a voter looks the same as a healthy
// one until the next loss stops it.
void MemberMaintenance::LogVoterChanges(const MembershipView& view,
                                        const NodeId& leader) {
  // Right after a start the others have had no time for a hello.
  if (view.now - started_at_ < policy_.presence_timeout) {
    return;
  }
  VoterHealth health = AssessVoters(view, policy_);
  if (health == logged_voters_) {
    return;
  }
  const int losses = ToleratedLosses(health);
  const LogLevel level = losses < 0 ? LogLevel::kError
                         : losses < static_cast<int>(tolerated_losses_)
                             ? LogLevel::kWarning
                             : LogLevel::kInfo;
  telemetry::LogEvent(level, "voters_changed",
                      {{"voters", std::to_string(health.voters.size())},
                       {"present", std::to_string(CountPresent(health))},
                       {"missing", MissingVoters(health)},
                       {"learners", std::to_string(health.present_learners)},
                       {"tolerated_losses", std::to_string(losses)},
                       {"leader", leader.value}});
  logged_voters_ = std::move(health);
}

void MemberMaintenance::Repair(const MembershipView& view,
                               const NodeId& leader) {
  if (leader != self_ || repair_pending_) {
    return;
  }
  const auto change = NextRepair(view, policy_);
  if (!change) {
    return;
  }
  telemetry::LogEvent(LogLevel::kInfo, "membership_repair",
                      {{"vm", change->node.value},
                       {"action", ActionName(change->action)},
                       {"storage_id", change->storage_id}});
  repair_pending_ = true;
  log_.ChangeMembership(*change, [this](const SubmitResult& /*result*/) {
    repair_pending_ = false;
  });
}

}  // namespace gooseberryrock::control
