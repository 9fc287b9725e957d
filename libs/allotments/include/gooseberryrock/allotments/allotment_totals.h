// What a control VM tells the others about the requests of organisations.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_TOTALS_H_
#define GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_TOTALS_H_

#include <map>
#include <optional>

#include "gooseberryrock/allotments/allotment_report.h"
#include "gooseberryrock/allotments/organisation_hash.h"

namespace gooseberryrock::allotments {

struct OrganisationTotals {
  // Of the nodes that report to the sender, since its start.
  RequestCounts counts;
  // Of the sender's bucket; empty if it is full.
  std::optional<double> tokens;
};

struct AllotmentTotals {
  // The sender grants requests, so that its tokens count.
  bool is_granting = false;
  // Organisations that are not listed have no requests and full buckets.
  // Otherwise only those are listed that have changed recently.
  bool is_complete = false;
  std::map<OrganisationHash, OrganisationTotals> organisations;
};

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_TOTALS_H_
