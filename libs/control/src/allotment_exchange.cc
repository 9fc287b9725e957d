// Enforces the allotments of organisations together with the other control VMs.

#include "allotment_exchange.h"

#include <cstdint>
#include <utility>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/control/control_codec.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_allotments.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

namespace {

// Intervals of the ledger. Changes are sent every 250 ms; all totals, which
// only VMs need that have just started, each second.
constexpr uint64_t kIntervalsPerTotals = 2;
constexpr uint64_t kIntervalsPerCompleteTotals = 8;

}  // namespace

AllotmentExchange::AllotmentExchange(const allotments::AllotmentPolicy& policy,
                                     const ControlCodec& codec,
                                     Connections connections)
    : codec_(codec),
      connections_(std::move(connections)),
      ledger_(allotments::MakeLedger(policy, BootTime())),
      thread_([this] { Run(); }) {}

AllotmentExchange::~AllotmentExchange() {
  Stop();
}

void AllotmentExchange::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void AllotmentExchange::SetRoutes(const StoredRoutes& routes) {
  {
    std::lock_guard lock(mutex_);
    new_routes_ = routes;
  }
  changed_.notify_all();
}

void AllotmentExchange::Run() {
  uint64_t intervals = 0;
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto has_work = [this] { return stopping_ || new_routes_; };
    if (IsActive(ledger_)) {
      changed_.wait_for(lock, allotments::kLedgerInterval, has_work);
    } else {
      changed_.wait(lock, has_work);
    }
    if (stopping_) {
      return;
    }
    if (new_routes_) {
      ReadLimits(lock);
    }
    if (!IsActive(ledger_)) {
      continue;
    }
    Advance(ledger_, BootTime());
    ++intervals;
    if (intervals % kIntervalsPerTotals == 0) {
      SendTotals(lock, intervals % kIntervalsPerCompleteTotals == 0);
    }
  }
}

void AllotmentExchange::ReadLimits(std::unique_lock<std::mutex>& lock) {
  const StoredRoutes stored = std::move(*new_routes_);
  new_routes_.reset();
  lock.unlock();
  std::optional<allotments::Limits> limits;
  try {
    limits = allotments::LimitsOf(
        codec_.parse_routes(routes::DecompressText(stored.compressed_text))
            .organisations);
  } catch (const routes::RouteError& e) {
    // A VM with another release has accepted the routes. The limits in force
    // are kept, and nodes with the new routes get no grants from this VM.
    telemetry::LogEvent(
        telemetry::LogLevel::kError, "allotments_not_read",
        {{"version", std::to_string(stored.version)}, {"error", e.what()}});
  }
  lock.lock();
  if (limits && stored.version > ledger_.limits_version) {
    SetLimits(ledger_, *limits, stored.version, BootTime());
    telemetry::LogEvent(telemetry::LogLevel::kInfo, "allotments_in_force",
                        {{"version", std::to_string(stored.version)},
                         {"organisations", std::to_string(limits->size())}});
  }
}

void AllotmentExchange::SendTotals(std::unique_lock<std::mutex>& lock,
                                   bool is_complete) {
  const std::string totals =
      proto::ToMessage(MakeTotals(ledger_, is_complete, BootTime()))
          .SerializeAsString();
  lock.unlock();
  connections_.send_totals(totals);
  const size_t nodes = connections_.count_entry_nodes();
  const auto moved = connections_.find_moved_nodes();
  lock.lock();
  ledger_.entry_nodes = nodes;
  SetMovedNodes(ledger_, moved);
}

void AllotmentExchange::AnswerPoll(const peer::PeerFrame& frame,
                                   const proto::EntryPoll& poll,
                                   proto::EntryPollReply& reply,
                                   SteadyTime now) {
  if (!poll.has_allotments()) {
    return;
  }
  const auto report = proto::FromMessage(poll.allotments());
  proto::AllotmentReply& answer = *reply.mutable_allotments();
  answer.set_number(report.number);
  answer.set_sent_us(poll.allotments().sent_us());
  std::lock_guard lock(mutex_);
  OnReport(ledger_, frame.sender, frame.incarnation, report, now);
  if (const auto grant =
          MakeGrant(ledger_, report, poll.routes_version(), now)) {
    *answer.mutable_grant() = proto::ToMessage(*grant);
  }
}

void AllotmentExchange::OnTotals(const peer::PeerFrame& frame, SteadyTime now) {
  const auto totals =
      proto::FromMessage(proto::Parse<proto::AllotmentTotals>(frame.body));
  std::lock_guard lock(mutex_);
  allotments::OnTotals(ledger_, frame.sender, frame.incarnation, totals, now);
}

}  // namespace gooseberryrock::control
