// What an entry node tells a control VM about the requests of organisations.

#ifndef GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_REPORT_H_
#define GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_REPORT_H_

#include <cstdint>
#include <map>

#include "gooseberryrock/allotments/organisation_hash.h"

namespace gooseberryrock::allotments {

// Cumulative from the start of the process that counts.
struct RequestCounts {
  uint64_t arrivals = 0;
  uint64_t admitted = 0;

  bool operator==(const RequestCounts&) const = default;
};

struct ReportedCounts {
  RequestCounts now;
  // In the last report that a control VM acknowledged.
  RequestCounts acknowledged;
};

struct AllotmentReport {
  // Incremented with each report of the process.
  uint64_t number = 0;
  // Organisations whose counts are not acknowledged.
  std::map<OrganisationHash, ReportedCounts> counts;
};

}  // namespace gooseberryrock::allotments

#endif  // GOOSEBERRYROCK_ALLOTMENTS_ALLOTMENT_REPORT_H_
