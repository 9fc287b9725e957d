// Parameters for routing relayed and gathered requests.

#ifndef GOOSEBERRYROCK_RELAY_RELAY_POLICY_H_
#define GOOSEBERRYROCK_RELAY_RELAY_POLICY_H_

#include <array>
#include <cstdint>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/relay/extra_attempt_limit.h"

namespace gooseberryrock::relay {

struct RelayPolicy {
  // An answer is sent this long before the target or deadline of the caller:
  // two round trips of 3 ms on the connection to the caller, one of them to
  // open a new connection.
  Duration answer_margin = std::chrono::milliseconds(13);

  // Cost of a server in another failure domain, as a fraction of the target
  // latency. Traffic between domains is billed, and an answer within the target
  // has no added value for being earlier.
  double cross_domain_share = 0.15;
  // Cost of opening a connection, which takes up to 6 ms.
  Duration connect_cost = std::chrono::milliseconds(8);
  // Cost of a server that has an overdue attempt or failed recently: more than
  // any target latency in use.
  Duration suspect_cost = std::chrono::seconds(2);
  // Cost of a failed attempt as a multiple of the typical time: the attempt,
  // its retry and the same again for the load of both.
  double failure_cost_factor = 3;
  // A shard is left out, if the minimum coverage allows it, when its servers'
  // expected time exceeds this fraction of the target latency; indexed by rank.
  // Less urgent requests thereby leave the server queues to more urgent ones.
  std::array<double, kRankCount> max_expected_share = {0.7, 0.5, 1.0};
  // Added to the cost of a server whose slots are all busy, as a fraction of
  // the typical time, so that equal servers share the load.
  double load_balance_factor = 0.5;

  // Whether a gathered request is refused before it is sent if so many shards
  // are unresponsive that it would lack the minimum coverage.
  bool refuse_unresponsive = true;
  // Time between requests that are sent all the same, to learn of servers that
  // respond again.
  Duration unresponsive_trial_interval = std::chrono::milliseconds(200);

  // Quantile of the reply time after which an attempt is overdue.
  double overdue_quantile = 0.95;
  // Minimum time until an attempt is overdue, as a fraction of the target
  // latency. The rest is enough for a hedge, and a lower value would hedge
  // attempts that are only slightly slow.
  double min_overdue_share = 0.25;
  // Maximum time until an attempt is overdue, as a fraction of the target
  // latency. It leaves a hedge at least as much time.
  double max_overdue_share = 0.45;
  // Typical and overdue time, as fractions of the target latency, until there
  // are enough samples.
  double default_typical_share = 0.15;
  double default_overdue_share = 0.35;

  // Time for a gathering node to acknowledge a request, as a fraction of the
  // target latency, and at least `min_acknowledge_time`, which a node needs
  // when it is busy with the replies of another request. A node that is frozen
  // or cut off costs a request this much; the rest is enough for another node.
  double acknowledge_share = 0.5;
  Duration min_acknowledge_time = std::chrono::milliseconds(40);

  // Hedges and retries.
  ExtraAttemptLimit extra_attempts;
  // Fraction of the limit's share that first attempts add to the budget. The
  // rest covers attempts in flight at the end of a window.
  double earned_share = 0.85;
  // Fractions of the limit's attempts that all nodes together may accumulate,
  // and that are refilled in each window. Both can be spent in the same window;
  // the rest covers nodes that restart with a full budget.
  double burst_share = 0.55;
  double refill_share = 0.35;
  // Number of entry nodes to divide the limit by while the actual number is
  // unknown: the size of the current deployments, including added nodes.
  uint32_t default_node_count = 9;

  // Initial and maximum delay before a failed server is probed. The maximum
  // bounds how long a restarted server stays unused.
  Duration initial_probe_delay = std::chrono::milliseconds(200);
  Duration max_probe_delay = std::chrono::seconds(2);
  // Half-life of a server's measured slowness, so that a slow server is
  // eventually tried again.
  Duration slowness_half_life = std::chrono::seconds(2);
  // Whether a slowness that servers state is used; otherwise, and for servers
  // that state none, only observed times count.
  bool use_stated_slowness = true;
  // Half-life of a stated slowness. Machines change their speed several times a
  // second, and a spell of 0.6 s has to be detected and its end noticed within
  // a fraction of it.
  Duration stated_slowness_half_life = std::chrono::milliseconds(150);
  // Time constant with which work moves out of a failure domain whose servers
  // state their slowness: the time after which the effect of a move shows in
  // the reports, two round trips of 9 ms between domains. With 150 ms, requests
  // wait for a part of each spell of 0.6 s.
  Duration crossing_damping = std::chrono::milliseconds(20);
  // Age at which a load report no longer counts.
  Duration load_report_max_age = std::chrono::milliseconds(300);
};

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_RELAY_POLICY_H_
