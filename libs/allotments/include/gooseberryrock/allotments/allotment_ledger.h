// A control VM's side of the allotments: adds up the requests of organisations
// at all nodes and derives the fraction to admit. See
// docs/design/allotments.md.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_LEDGER_H_
#define GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "gooseberryrock/allotments/allotment_grant.h"
#include "gooseberryrock/allotments/allotment_policy.h"
#include "gooseberryrock/allotments/allotment_report.h"
#include "gooseberryrock/allotments/allotment_totals.h"
#include "gooseberryrock/allotments/organisation_hash.h"
#include "gooseberryrock/allotments/request_rate.h"
#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"

namespace gooseberryrock::allotments {

// What a ledger knows of an organisation at one node or one other control VM.
struct SourceCounts {
  RequestCounts last;
  RequestRate demand;
  // Averages over a shorter and a longer time.
  RequestRate recent;
  RequestRate usual;
  // Requests that were charged, or kept free, while the source was silent.
  double prepaid = 0;
  // Part of the usual demand when the source was last heard.
  double share = 0;
};

// A node that reports to this control VM, or another control VM.
struct AllotmentSource {
  uint64_t incarnation = 0;
  SteadyTime heard_at;
  bool is_silent = false;
  // Other control VM: its counts of all organisations are known.
  bool is_complete = false;
  // Other control VM: part of its nodes that other VMs hear of meanwhile.
  double moved = 0;
  std::map<OrganisationHash, SourceCounts> organisations;
};

struct OrganisationBudget {
  organisations::Allotment limit;
  // Negative while there is debt.
  double tokens = 0;
  // What the bucket can hold, and the part of the rate that refills it: less
  // than all while other control VMs are silent.
  double size = 0;
  double available = 1;
  SteadyTime refilled_at;
  // Of the nodes that report to this control VM.
  RequestCounts own;
  RequestRate demand;
  RequestRate recent;
  RequestRate usual;
  // When `own` changed.
  SteadyTime changed_at;
  // Part of a request that was charged for silent nodes and is not in `own`.
  double charged_part = 0;
  // Tokens were taken over from another control VM during the start.
  bool is_taken_over = false;
};

struct AllotmentLedger {
  AllotmentPolicy policy;
  // Start of the process, or the end of a suspension.
  SteadyTime started_at;
  SteadyTime advanced_at;
  // Version of the routes that the limits are from; 0 if there are none yet.
  uint64_t limits_version = 0;
  // Another control VM that grants requests has been heard of since the start.
  bool heard_granting = false;
  size_t entry_nodes = 0;
  std::map<OrganisationHash, OrganisationBudget> organisations;
  std::map<NodeId, AllotmentSource> nodes;
  std::map<NodeId, AllotmentSource> control_vms;
};

AllotmentLedger MakeLedger(const AllotmentPolicy& policy, SteadyTime now);

void SetLimits(AllotmentLedger& ledger,
               const Limits& limits,
               uint64_t version,
               SteadyTime now);

// Whether limits are in force, so that totals are to be exchanged.
bool IsActive(const AllotmentLedger& ledger);

// Accounts for nodes and control VMs that are silent. Called every
// kLedgerInterval.
inline constexpr Duration kLedgerInterval = std::chrono::milliseconds(125);
void Advance(AllotmentLedger& ledger, SteadyTime now);

// `moved` is the part of the nodes of each silent control VM that others hear
// of. They spend their shares there.
void SetMovedNodes(AllotmentLedger& ledger,
                   const std::map<NodeId, double>& moved);

void OnReport(AllotmentLedger& ledger,
              const NodeId& node,
              uint64_t incarnation,
              const AllotmentReport& report,
              SteadyTime now);
void OnTotals(AllotmentLedger& ledger,
              const NodeId& control_vm,
              uint64_t incarnation,
              const AllotmentTotals& totals,
              SteadyTime now);

AllotmentTotals MakeTotals(AllotmentLedger& ledger,
                           bool is_complete,
                           SteadyTime now);

// Returns the reply to `report` of a node that follows `routes_version`; empty
// while this control VM cannot grant.
std::optional<AllotmentGrant> MakeGrant(AllotmentLedger& ledger,
                                        const AllotmentReport& report,
                                        uint64_t routes_version,
                                        SteadyTime now);

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_LEDGER_H_
