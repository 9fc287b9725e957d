// A control VM's side of the allotments.

#include "gooseberryrock/allotments/allotment_ledger.h"

#include <algorithm>
#include <cmath>

namespace gooseberryrock::allotments {

namespace {

// After a start the totals of the other control VMs and of the nodes are known
// by then: nodes find this VM within 0.75 s, and complete totals come each
// second.
constexpr Duration kStartTime = std::chrono::milliseconds(1250);
// With the tokens of a control VM that grants, only the counts of the nodes are
// missing, which it charges as well.
constexpr Duration kShortStartTime = std::chrono::milliseconds(500);
// Two totals, sent every 250 ms. A VM that is late by mistake only lends its
// share for a moment.
constexpr Duration kControlVmSilence = std::chrono::milliseconds(500);
// Four polls. A node that polls another control VM is silent here as well.
constexpr Duration kNodeSilence = std::chrono::seconds(1);
constexpr Duration kNodeLifetime = std::chrono::seconds(10);
// Control VMs that are cut off together with nodes go on granting their share,
// so that it is kept for the usual length of a partition and then decays.
constexpr double kShareHoldSeconds = 10;
constexpr Duration kControlVmLifetime = std::chrono::minutes(1);
// Advance() is late by more than this only after a suspension.
constexpr Duration kMaxAdvanceDelay = std::chrono::seconds(1);
// Totals are repeated, because frames can be lost.
constexpr Duration kRepeatTime = std::chrono::milliseconds(1500);
// Time in which tokens are spent. The longer it is, the earlier a flood is
// limited; organisations below their limits keep a full bucket.
constexpr double kSpendSeconds = 2.5;
// Time in which debt is paid back; about twice the mean delay of news, which
// keeps the control from oscillating.
constexpr double kRepaySeconds = 1;
// Each side of a partition keeps at least this many spare requests, so that it
// serves small organisations. Three sides stay within the usual slack.
constexpr double kMinSpare = 5;
// A side keeps a share of the rate for organisations without demand there.
constexpr double kMinAvailable = 0.05;
// Bounds of the period over which demand is averaged, and the requests that it
// should contain.
constexpr double kMinDemandSeconds = 0.4;
constexpr double kMaxDemandSeconds = 5;
constexpr double kRequestsInDemandPeriod = 8;
constexpr int kRecentPeriods = 3;
// Shares of the demand change slowly, and floods do not belong to them.
constexpr Duration kSharePeriod = std::chrono::seconds(5);
// The share of a control VM is that of the time when its last totals arrived:
// later counts of the others would make it look smaller.
constexpr Duration kShareAge = std::chrono::milliseconds(375);

// Part of the difference to the tokens of another control VM that is made up
// with each complete totals.
constexpr double kAlignment = 0.2;

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

Duration DemandPeriod(const organisations::Allotment& limit) {
  return ToDuration(
      std::clamp(kRequestsInDemandPeriod / limit.requests_per_second,
                 kMinDemandSeconds, kMaxDemandSeconds));
}

Duration RecentPeriod(const organisations::Allotment& limit) {
  return std::max(DemandPeriod(limit) / kRecentPeriods,
                  ToDuration(kMinDemandSeconds));
}

bool IsReady(const AllotmentLedger& ledger, SteadyTime now) {
  const Duration age = now - ledger.started_at;
  return age >= kStartTime || (ledger.heard_granting && age >= kShortStartTime);
}

double MaxDebt(const AllotmentLedger& ledger, const OrganisationBudget& it) {
  // Requests from before the window no longer count.
  return it.limit.requests_per_second *
         std::chrono::duration<double>(ledger.policy.window).count();
}

void Refill(OrganisationBudget& budget, SteadyTime now) {
  budget.tokens += budget.limit.requests_per_second * budget.available *
                   SecondsBetween(budget.refilled_at, now);
  budget.tokens = std::min(budget.tokens, budget.size);
  budget.refilled_at = std::max(budget.refilled_at, now);
}

void Charge(const AllotmentLedger& ledger,
            OrganisationBudget& budget,
            double requests,
            SteadyTime now) {
  Refill(budget, now);
  budget.tokens = std::max(budget.tokens - requests, -MaxDebt(ledger, budget));
}

// `to` is a source or the budget of the organisation.
template <typename Counts>
void CountDemand(Counts& to,
                 const OrganisationBudget& budget,
                 uint64_t arrivals,
                 SteadyTime now) {
  const auto n = static_cast<double>(arrivals);
  AddRequests(to.demand, n, DemandPeriod(budget.limit), now);
  AddRequests(to.recent, n, RecentPeriod(budget.limit), now);
  AddRequests(to.usual, n, kSharePeriod, now);
}

// The usual demand that a source had when it was last heard.
double LastUsual(const AllotmentSource& source, const SourceCounts& counts) {
  return RateAt(counts.usual, kSharePeriod, source.heard_at);
}

double UsualDemand(const AllotmentLedger& ledger,
                   OrganisationHash hash,
                   const OrganisationBudget& budget,
                   SteadyTime now) {
  double demand = RateAt(budget.usual, kSharePeriod, now);
  for (const auto& [node, source] : ledger.control_vms) {
    const auto it = source.organisations.find(hash);
    if (it != source.organisations.end()) {
      demand += LastUsual(source, it->second);
    }
  }
  return demand;
}

// Of the nodes that are heard of. After a flood the shorter average is the
// lower one; without it, small organisations were refused for seconds more.
double DemandOf(const AllotmentLedger& ledger,
                OrganisationHash hash,
                const OrganisationBudget& budget,
                SteadyTime now) {
  const Duration period = DemandPeriod(budget.limit);
  const Duration recent_period = RecentPeriod(budget.limit);
  double demand = RateAt(budget.demand, period, now);
  double recent = RateAt(budget.recent, recent_period, now);
  for (const auto& [node, source] : ledger.control_vms) {
    const auto it = source.organisations.find(hash);
    if (!source.is_silent && it != source.organisations.end()) {
      demand += RateAt(it->second.demand, period, now);
      recent += RateAt(it->second.recent, recent_period, now);
    }
  }
  return std::min(demand, recent);
}

double SilenceFactor(const AllotmentSource& source,
                     double hold_seconds,
                     SteadyTime now) {
  const double decays = SecondsBetween(source.heard_at, now) - hold_seconds;
  return std::exp2(-std::max(0.0, decays) / kShareHalfLifeSeconds);
}

// A suspended VM has heard nobody, which says nothing about the others.
void RestartAfterSuspension(AllotmentLedger& ledger, SteadyTime now) {
  ledger.started_at = now;
  ledger.heard_granting = false;
  for (auto* sources : {&ledger.nodes, &ledger.control_vms}) {
    for (auto& [node, source] : *sources) {
      source.heard_at = now;
    }
  }
  for (auto& [hash, budget] : ledger.organisations) {
    budget.is_taken_over = false;
  }
}

void ChargeSilentNodes(AllotmentLedger& ledger,
                       double seconds,
                       SteadyTime now) {
  std::erase_if(ledger.nodes, [now](const auto& it) {
    return now - it.second.heard_at >= kNodeLifetime;
  });
  for (auto& [node, source] : ledger.nodes) {
    const bool was_silent = source.is_silent;
    source.is_silent = now - source.heard_at >= kNodeSilence;
    if (!source.is_silent) {
      continue;
    }
    for (auto& [hash, counts] : source.organisations) {
      const auto it = ledger.organisations.find(hash);
      if (it == ledger.organisations.end()) {
        continue;
      }
      OrganisationBudget& budget = it->second;
      if (!was_silent) {
        const double last = LastUsual(source, counts);
        const double total =
            std::max(last, UsualDemand(ledger, hash, budget, now));
        counts.share = total > 0 ? last / total : 0;
      }
      const double requests = budget.limit.requests_per_second * counts.share *
                              SilenceFactor(source, 0, now) * seconds;
      counts.prepaid += requests;
      budget.charged_part += requests;
      const double whole = std::floor(budget.charged_part);
      budget.charged_part -= whole;
      if (whole > 0) {
        budget.own.admitted += static_cast<uint64_t>(whole);
        budget.changed_at = now;
        Charge(ledger, budget, whole, now);
      }
    }
  }
}

void SetAvailable(AllotmentLedger& ledger,
                  OrganisationBudget& budget,
                  double available,
                  bool returns_tokens) {
  budget.available = std::clamp(available, kMinAvailable, 1.0);
  const BucketSize full = SizeOf(budget.limit, ledger.policy);
  const double size =
      full.burst * budget.available +
      std::max(full.spare * budget.available, std::min(full.spare, kMinSpare));
  // The part of the others is theirs from the start of the silence.
  const double change = size - budget.size;
  if (change < 0 || returns_tokens) {
    budget.tokens += change;
  }
  budget.size = size;
}

void KeepSharesOfSilentVms(AllotmentLedger& ledger,
                           double seconds,
                           SteadyTime now) {
  std::erase_if(ledger.control_vms, [now](const auto& it) {
    return now - it.second.heard_at >= kControlVmLifetime;
  });
  std::map<OrganisationHash, double> kept;
  bool have_moved = false;
  for (auto& [node, source] : ledger.control_vms) {
    const bool was_silent = source.is_silent;
    source.is_silent = now - source.heard_at >= kControlVmSilence;
    have_moved = have_moved || (source.is_silent && source.moved > 0);
    const double factor =
        SilenceFactor(source, kShareHoldSeconds, now) * (1 - source.moved);
    for (auto& [hash, counts] : source.organisations) {
      const auto it = ledger.organisations.find(hash);
      if (it == ledger.organisations.end()) {
        continue;
      }
      const OrganisationBudget& budget = it->second;
      if (now - source.heard_at < kShareAge) {
        const double total = UsualDemand(ledger, hash, budget, now);
        counts.share = total > 0 ? LastUsual(source, counts) / total : 0;
      }
      if (source.is_silent) {
        kept[hash] += counts.share * factor;
        counts.prepaid +=
            budget.limit.requests_per_second * counts.share * factor * seconds;
      }
      if (source.is_silent && !was_silent) {
        // Its part of the bucket is taken as well.
        counts.prepaid +=
            counts.share * SizeOf(budget.limit, ledger.policy).Total();
      }
    }
  }
  for (auto& [hash, budget] : ledger.organisations) {
    Refill(budget, now);
    const auto it = kept.find(hash);
    SetAvailable(ledger, budget, 1 - (it == kept.end() ? 0 : it->second),
                 have_moved);
  }
}

RequestCounts Difference(const RequestCounts& to, const RequestCounts& from) {
  return {to.arrivals - std::min(to.arrivals, from.arrivals),
          to.admitted - std::min(to.admitted, from.admitted)};
}

// Returns what of `admitted` is not charged yet.
double NotPrepaid(SourceCounts& counts, uint64_t admitted) {
  const double rest =
      std::max(0.0, static_cast<double>(admitted) - counts.prepaid);
  counts.prepaid = 0;
  return rest;
}

// While this VM starts, tokens of VMs that grant replace its own.
void TakeOverTokens(AllotmentLedger& ledger, const AllotmentTotals& totals) {
  ledger.heard_granting = true;
  for (auto& [hash, budget] : ledger.organisations) {
    const auto it = totals.organisations.find(hash);
    const double tokens = it != totals.organisations.end() && it->second.tokens
                              ? *it->second.tokens
                              : budget.size;
    budget.tokens =
        budget.is_taken_over ? std::min(budget.tokens, tokens) : tokens;
    budget.is_taken_over = true;
  }
}

// During a flood the buckets of VMs whose nodes take no part in it do not
// converge by themselves.
void AlignTokens(AllotmentLedger& ledger,
                 const AllotmentTotals& totals,
                 SteadyTime now) {
  for (auto& [hash, budget] : ledger.organisations) {
    Refill(budget, now);
    const auto it = totals.organisations.find(hash);
    const double tokens = it != totals.organisations.end() && it->second.tokens
                              ? *it->second.tokens
                              : budget.size;
    budget.tokens += kAlignment * (tokens - budget.tokens);
  }
}

double FractionOf(const AllotmentLedger& ledger,
                  OrganisationHash hash,
                  const OrganisationBudget& budget,
                  SteadyTime now) {
  const double allowed =
      budget.limit.requests_per_second * budget.available +
      budget.tokens / (budget.tokens > 0 ? kSpendSeconds : kRepaySeconds);
  if (allowed <= 0) {
    return 0;
  }
  const double demand = DemandOf(ledger, hash, budget, now);
  return demand > allowed ? allowed / demand : 1;
}

}  // namespace

AllotmentLedger MakeLedger(const AllotmentPolicy& policy, SteadyTime now) {
  AllotmentLedger ledger;
  ledger.policy = policy;
  ledger.started_at = now;
  ledger.advanced_at = now;
  return ledger;
}

void SetLimits(AllotmentLedger& ledger,
               const Limits& limits,
               uint64_t version,
               SteadyTime now) {
  ledger.limits_version = version;
  if (!IsActive(ledger)) {
    // Advance() was not called while there were no limits.
    ledger.advanced_at = now;
  }
  std::erase_if(ledger.organisations,
                [&](const auto& it) { return !limits.contains(it.first); });
  for (const auto& [hash, limit] : limits) {
    const auto [it, is_new] = ledger.organisations.try_emplace(hash);
    OrganisationBudget& budget = it->second;
    const BucketSize size = SizeOf(limit, ledger.policy);
    if (is_new) {
      budget.limit = limit;
      budget.size = size.Total();
      // During a start the nodes report what they have admitted since their
      // last grants, which is charged.
      budget.tokens = size.Total();
      budget.refilled_at = now;
    } else if (budget.limit != limit) {
      Refill(budget, now);
      budget.limit = limit;
      budget.size = size.Total();
      // What was saved under the earlier limit does not count as spare.
      budget.tokens = std::clamp(budget.tokens, -MaxDebt(ledger, budget),
                                 std::max(limit.burst, 1.0));
      SetAvailable(ledger, budget, budget.available,
                   /*returns_tokens=*/false);
    }
  }
}

bool IsActive(const AllotmentLedger& ledger) {
  return !ledger.organisations.empty();
}

void Advance(AllotmentLedger& ledger, SteadyTime now) {
  const Duration elapsed = now - ledger.advanced_at;
  ledger.advanced_at = now;
  if (elapsed > kMaxAdvanceDelay) {
    RestartAfterSuspension(ledger, now);
    return;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  ChargeSilentNodes(ledger, seconds, now);
  KeepSharesOfSilentVms(ledger, seconds, now);
}

void SetMovedNodes(AllotmentLedger& ledger,
                   const std::map<NodeId, double>& moved) {
  for (auto& [node, source] : ledger.control_vms) {
    const auto it = moved.find(node);
    source.moved = it == moved.end() ? 0 : std::clamp(it->second, 0.0, 1.0);
  }
}

void OnReport(AllotmentLedger& ledger,
              const NodeId& node,
              uint64_t incarnation,
              const AllotmentReport& report,
              SteadyTime now) {
  AllotmentSource& source = ledger.nodes[node];
  // The first counts of a node may be from a long time.
  const bool is_first = source.incarnation != incarnation;
  if (is_first) {
    source = {};
    source.incarnation = incarnation;
  }
  source.heard_at = now;
  source.is_silent = false;
  for (const auto& [hash, reported] : report.counts) {
    const auto it = ledger.organisations.find(hash);
    if (it == ledger.organisations.end()) {
      continue;
    }
    OrganisationBudget& budget = it->second;
    SourceCounts& counts = source.organisations[hash];
    // The node may have reported to another VM in between. Lower counts are
    // those of an organisation that was not limited for some time.
    const bool has_earlier =
        counts.last.arrivals > reported.acknowledged.arrivals &&
        counts.last.arrivals <= reported.now.arrivals;
    const RequestCounts added = Difference(
        reported.now, has_earlier ? counts.last : reported.acknowledged);
    counts.last = reported.now;
    if (!is_first) {
      CountDemand(counts, budget, added.arrivals, now);
      CountDemand(budget, budget, added.arrivals, now);
    }
    const double charged = NotPrepaid(counts, added.admitted);
    budget.own.arrivals += added.arrivals;
    budget.own.admitted += static_cast<uint64_t>(std::ceil(charged));
    budget.changed_at = now;
    Charge(ledger, budget, charged, now);
  }
  for (auto& [hash, counts] : source.organisations) {
    counts.prepaid = 0;
  }
}

void OnTotals(AllotmentLedger& ledger,
              const NodeId& control_vm,
              uint64_t incarnation,
              const AllotmentTotals& totals,
              SteadyTime now) {
  const bool is_known = ledger.control_vms.contains(control_vm);
  AllotmentSource& source = ledger.control_vms[control_vm];
  if (source.incarnation != incarnation) {
    source = {};
    source.incarnation = incarnation;
    // The counts of a process that has replaced a known one are all new.
    source.is_complete = is_known;
  }
  source.heard_at = now;
  for (const auto& [hash, total] : totals.organisations) {
    const auto it = ledger.organisations.find(hash);
    if (it == ledger.organisations.end()) {
      continue;
    }
    const bool has_earlier =
        source.is_complete || source.organisations.contains(hash);
    SourceCounts& counts = source.organisations[hash];
    if (has_earlier) {
      const RequestCounts added = Difference(total.counts, counts.last);
      CountDemand(counts, it->second, added.arrivals, now);
      Charge(ledger, it->second, NotPrepaid(counts, added.admitted), now);
    }
    counts.last = total.counts;
  }
  for (auto& [hash, counts] : source.organisations) {
    counts.prepaid = 0;
  }
  source.is_complete |= totals.is_complete;
  if (totals.is_granting && totals.is_complete && !IsReady(ledger, now)) {
    TakeOverTokens(ledger, totals);
  } else if (totals.is_granting && totals.is_complete) {
    AlignTokens(ledger, totals, now);
  }
}

AllotmentTotals MakeTotals(AllotmentLedger& ledger,
                           bool is_complete,
                           SteadyTime now) {
  AllotmentTotals totals;
  totals.is_granting = ledger.limits_version > 0 && IsReady(ledger, now);
  totals.is_complete = is_complete;
  for (auto& [hash, budget] : ledger.organisations) {
    const bool is_recent =
        budget.own != RequestCounts() && now - budget.changed_at < kRepeatTime;
    Refill(budget, now);
    const bool is_full = budget.tokens + 1 > budget.size;
    if (!is_recent &&
        (!is_complete || (is_full && budget.own == RequestCounts()))) {
      continue;
    }
    OrganisationTotals& total = totals.organisations[hash];
    total.counts = budget.own;
    if (is_complete && !is_full) {
      total.tokens = budget.tokens;
    }
  }
  return totals;
}

std::optional<AllotmentGrant> MakeGrant(AllotmentLedger& ledger,
                                        const AllotmentReport& report,
                                        uint64_t routes_version,
                                        SteadyTime now) {
  if (ledger.limits_version == 0 || ledger.limits_version < routes_version ||
      !IsReady(ledger, now)) {
    return std::nullopt;
  }
  AllotmentGrant grant;
  grant.nodes = ledger.entry_nodes;
  for (auto& [hash, budget] : ledger.organisations) {
    Refill(budget, now);
    const double fraction = FractionOf(ledger, hash, budget, now);
    if (fraction < 1) {
      grant.organisations[hash].fraction = fraction;
    }
    if (report.counts.contains(hash)) {
      grant.organisations[hash].demand = UsualDemand(ledger, hash, budget, now);
    }
  }
  return grant;
}

}  // namespace gooseberryrock::allotments
