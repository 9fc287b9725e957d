// Parameters of the decisions about relayed and gathered requests.

#ifndef GOOSEBERRYROCK_RELAY_RELAY_POLICY_H_
#define GOOSEBERRYROCK_RELAY_RELAY_POLICY_H_

#include <array>
#include <cstdint>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/extra_attempt_limit.h"

namespace gooseberryrock::relay {

struct RelayPolicy {
  // An answer has to leave this long before a target or deadline of the caller:
  // two round trips of a caller link of 3 ms, one of them for a new connection.
  Duration answer_margin = std::chrono::milliseconds(13);

  // Added to the cost of a server in another failure domain, as a part of the
  // target latency. Traffic between domains is charged for, and an answer that
  // is in time is not worth more for being earlier.
  double cross_domain_share = 0.15;
  // Cost of opening a connection: today's servers take up to 6 ms.
  Duration connect_cost = std::chrono::milliseconds(8);
  // Cost of a server that has an attempt without a reply beyond the usual time,
  // or that failed lately: more than any target latency of today.
  Duration suspect_cost = std::chrono::seconds(2);
  // Times the typical time that a failed attempt costs: itself, its repetition
  // and as much again for the load that both are.
  double failure_factor = 3;
  // A shard whose servers are expected to take more than this part of the
  // target latency is left out where the least coverage allows it, by rank.
  // Less urgent work leaves the servers' queues to the more urgent.
  std::array<double, kRankCount> fill_share = {0.7, 0.5, 1.0};
  // Part of the typical time that a server costs more when all of its slots
  // are busy, so that equal servers share the work.
  double balance = 0.5;

  // The share of the replies that arrive before an attempt counts as overdue.
  double overdue_quantile = 0.95;
  // Part of the target latency before which an attempt is never overdue: a
  // second one still has the rest, and earlier ones would repeat attempts that
  // are only a little slow.
  double least_overdue_share = 0.25;
  // Part of the target latency after which an attempt is overdue at the latest:
  // a second one then has as much time again.
  double most_overdue_share = 0.45;
  // Typical and overdue time before there are enough samples, as parts of the
  // target latency.
  double unknown_typical_share = 0.15;
  double unknown_overdue_share = 0.35;

  // Hedges and retries.
  ExtraAttemptLimit extra_attempts;
  // Part of the limit's share that each first attempt earns. The rest is for
  // attempts that are under way when a window ends.
  double used_share = 0.85;
  // Parts of the limit's attempts that the nodes together may save up, and that
  // they earn in each window. Both can fall into the same one; the rest is for
  // nodes that restart and begin with a full budget.
  double saved_attempts = 0.55;
  double earned_attempts = 0.35;
  // Nodes that are assumed to divide the limit while their number is not known:
  // those of today's deployments, with the added ones.
  uint32_t assumed_nodes = 9;

  // First and longest wait before a server that failed is tried again. The
  // longest is the time that a restarted server may stay without work.
  Duration first_probe_wait = std::chrono::milliseconds(200);
  Duration longest_probe_wait = std::chrono::seconds(2);
  // Half-life of what is known of a server's speed: it is tried again later.
  Duration memory_half_life = std::chrono::seconds(2);
  // A load report is worth nothing after this time.
  Duration load_report_life = std::chrono::milliseconds(300);
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_RELAY_POLICY_H_
