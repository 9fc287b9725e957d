// An entry node's side of the allotments: counts the requests of organisations
// and decides which are admitted. See docs/design/allotments.md.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_NODE_ALLOTMENTS_H_
#define GOOSEBERRYROCK_ALLOTMENTS_NODE_ALLOTMENTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "gooseberryrock/allotments/allotment_grant.h"
#include "gooseberryrock/allotments/allotment_policy.h"
#include "gooseberryrock/allotments/allotment_report.h"
#include "gooseberryrock/allotments/organisation_hash.h"
#include "gooseberryrock/allotments/request_rate.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::allotments {

// Time from the poll for which its grant is valid. Longer than
// poll_reply_timeout, after which a node asks another control VM.
inline constexpr Duration kGrantLifetime = std::chrono::seconds(1);

// An organisation at this node.
struct OrganisationUse {
  organisations::Allotment limit;
  RequestCounts counts;
  RequestCounts acknowledged;
  RequestRate demand;
  // By the last grant that names the organisation.
  double fraction = 1;
  // Part of the next admission that the fraction has earned; starts at random,
  // so that the nodes do not all admit their first request.
  double credit = 0;
  // This node's part of the demand; empty if no grant stated the demand.
  std::optional<double> share;
  // Tokens of the whole allotment, which this node alone must not exceed.
  double tokens = 0;
  // Tokens to spend without a valid grant.
  double fallback_tokens = 0;
  SteadyTime refilled_at;
};

struct NodeAllotments {
  AllotmentPolicy policy;
  std::mt19937_64 random;
  std::map<OrganisationHash, OrganisationUse> organisations;
  // When the poll was sent whose grant is followed.
  std::optional<SteadyTime> granted_at;
  // By the last grant; 0 if there was none.
  size_t nodes = 0;
  uint64_t last_report = 0;
  // Counts of reports that are not acknowledged, by their numbers.
  std::map<uint64_t, std::map<OrganisationHash, RequestCounts>> sent;
};

struct AllotmentDecision {
  bool admitted = true;
  // If not admitted.
  Duration retry_after = Duration::zero();
};

NodeAllotments MakeNodeAllotments(const AllotmentPolicy& policy, uint64_t seed);

void SetLimits(NodeAllotments& node, const Limits& limits, SteadyTime now);

// Counts a request of the organisation and decides whether it is admitted.
AllotmentDecision AdmitRequest(NodeAllotments& node,
                               OrganisationHash organisation,
                               SteadyTime now);

AllotmentReport MakeReport(NodeAllotments& node);
// A control VM has counted the report.
void AcknowledgeReport(NodeAllotments& node, uint64_t number);
// `sent_at` is when the poll was sent that the grant replies to.
void ApplyGrant(NodeAllotments& node,
                const AllotmentGrant& grant,
                SteadyTime sent_at);

bool HasGrant(const NodeAllotments& node, SteadyTime now);

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_NODE_ALLOTMENTS_H_
