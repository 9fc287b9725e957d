// An entry node's side of the allotments.

#include "gooseberryrock/allotments/node_allotments.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace gooseberryrock::allotments {

namespace {

// Average over the node's requests, a few of which arrive per second.
constexpr Duration kDemandPeriod = std::chrono::seconds(5);
// A fraction below 1 is applied for this long after its grant has ended: about
// the time in which nodes find another control VM.
constexpr Duration kFractionLifetime = std::chrono::seconds(2);
// What a node may admit of an organisation that it knows nothing of.
constexpr double kFirstRequests = 1;
// A node without demand in the last grant keeps this part of an equal share.
constexpr double kMinShare = 0.5;
constexpr size_t kMaxSentReports = 8;
constexpr double kMinRetrySeconds = 0.2;
constexpr double kMaxRetrySeconds = 5;

double ShareOf(const NodeAllotments& node, const OrganisationUse& use) {
  const double equal = node.nodes > 0 ? 1 / static_cast<double>(node.nodes) : 0;
  return std::clamp(use.share.value_or(equal), kMinShare * equal, 1.0);
}

double FallbackSize(const NodeAllotments& node, const OrganisationUse& use) {
  return kFirstRequests +
         ShareOf(node, use) * SizeOf(use.limit, node.policy).Total();
}

void Refill(const NodeAllotments& node, OrganisationUse& use, SteadyTime now) {
  const double seconds = SecondsBetween(use.refilled_at, now);
  use.refilled_at = std::max(use.refilled_at, now);
  const double tokens = use.limit.requests_per_second * seconds;
  use.tokens =
      std::min(SizeOf(use.limit, node.policy).Total(), use.tokens + tokens);
  const double ended =
      node.granted_at ? SecondsBetween(*node.granted_at + kGrantLifetime, now)
                      : 0;
  use.fallback_tokens = std::min(
      FallbackSize(node, use),
      use.fallback_tokens + tokens * ShareOf(node, use) *
                                std::exp2(-ended / kShareHalfLifeSeconds));
}

bool MayAdmit(const NodeAllotments& node,
              OrganisationUse& use,
              SteadyTime now) {
  if (use.tokens < 1) {
    return false;
  }
  if (!HasGrant(node, now) && use.fallback_tokens < 1) {
    return false;
  }
  const bool has_fraction =
      node.granted_at &&
      now < *node.granted_at + kGrantLifetime + kFractionLifetime;
  if (!has_fraction || use.fraction >= 1) {
    return true;
  }
  use.credit += use.fraction;
  if (use.credit < 1) {
    return false;
  }
  use.credit -= 1;
  return true;
}

}  // namespace

NodeAllotments MakeNodeAllotments(const AllotmentPolicy& policy,
                                  uint64_t seed) {
  NodeAllotments node;
  node.policy = policy;
  node.random.seed(seed);
  return node;
}

void SetLimits(NodeAllotments& node, const Limits& limits, SteadyTime now) {
  const auto removed = std::erase_if(node.organisations, [&](const auto& it) {
    return !limits.contains(it.first);
  });
  if (removed > 0) {
    // Counts of an organisation that gets a limit again start anew.
    node.sent.clear();
  }
  std::uniform_real_distribution<double> start(0, 1);
  for (const auto& [hash, limit] : limits) {
    const auto [it, is_new] = node.organisations.try_emplace(hash);
    OrganisationUse& use = it->second;
    const BucketSize size = SizeOf(limit, node.policy);
    if (is_new) {
      use.limit = limit;
      use.credit = start(node.random);
      use.tokens = size.Total();
      use.fallback_tokens = FallbackSize(node, use);
      use.refilled_at = now;
    } else if (use.limit != limit) {
      Refill(node, use, now);
      use.limit = limit;
      // What was saved under the earlier limit does not count as spare.
      use.tokens = std::min(use.tokens, std::max(limit.burst, 1.0));
      use.fallback_tokens =
          std::min(use.fallback_tokens, FallbackSize(node, use));
    }
  }
}

AllotmentDecision AdmitRequest(NodeAllotments& node,
                               OrganisationHash organisation,
                               SteadyTime now) {
  const auto it = node.organisations.find(organisation);
  if (it == node.organisations.end()) {
    return {};
  }
  OrganisationUse& use = it->second;
  ++use.counts.arrivals;
  AddRequests(use.demand, 1, kDemandPeriod, now);
  Refill(node, use, now);
  if (MayAdmit(node, use, now)) {
    ++use.counts.admitted;
    use.tokens -= 1;
    use.fallback_tokens = std::max(0.0, use.fallback_tokens - 1);
    return {};
  }
  std::uniform_real_distribution<double> spread(1, 2);
  const double seconds = std::clamp(1 / use.limit.requests_per_second,
                                    kMinRetrySeconds, kMaxRetrySeconds) *
                         spread(node.random);
  return {false, std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(seconds))};
}

AllotmentReport MakeReport(NodeAllotments& node) {
  AllotmentReport report;
  report.number = ++node.last_report;
  auto& sent = node.sent[report.number];
  for (const auto& [hash, use] : node.organisations) {
    if (use.counts != use.acknowledged) {
      report.counts[hash] = {use.counts, use.acknowledged};
      sent[hash] = use.counts;
    }
  }
  while (node.sent.size() > kMaxSentReports) {
    node.sent.erase(node.sent.begin());
  }
  return report;
}

void AcknowledgeReport(NodeAllotments& node, uint64_t number) {
  const auto sent = node.sent.find(number);
  if (sent == node.sent.end()) {
    return;
  }
  for (const auto& [hash, counts] : sent->second) {
    const auto it = node.organisations.find(hash);
    // An organisation may have lost and regained its limit.
    if (it != node.organisations.end() &&
        counts.arrivals <= it->second.counts.arrivals) {
      it->second.acknowledged = counts;
    }
  }
  node.sent.erase(node.sent.begin(), std::next(sent));
}

void ApplyGrant(NodeAllotments& node,
                const AllotmentGrant& grant,
                SteadyTime sent_at) {
  if (node.granted_at && sent_at <= *node.granted_at) {
    return;
  }
  node.granted_at = sent_at;
  node.nodes = grant.nodes;
  for (auto& [hash, use] : node.organisations) {
    const auto it = grant.organisations.find(hash);
    const OrganisationGrant own =
        it == grant.organisations.end() ? OrganisationGrant() : it->second;
    use.fraction = own.fraction;
    if (own.demand > 0) {
      use.share = std::min(
          1.0, RateAt(use.demand, kDemandPeriod, sent_at) / own.demand);
    }
  }
}

bool HasGrant(const NodeAllotments& node, SteadyTime now) {
  return node.granted_at && now < *node.granted_at + kGrantLifetime;
}

}  // namespace gooseberryrock::allotments
