// Refuses requests beyond the allotment of their organisation.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_ALLOTMENT_CHECK_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_ALLOTMENT_CHECK_H_

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::allotments {
class SharedNodeAllotments;
}  // namespace gooseberryrock::allotments

namespace gooseberryrock::organisations {
struct Organisation;
}  // namespace gooseberryrock::organisations

namespace gooseberryrock::routes {
struct Route;
}  // namespace gooseberryrock::routes

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::transport {
class Exchange;
}  // namespace gooseberryrock::transport

namespace gooseberryrock::entry {

struct CallerRequest;
struct EntryCodec;

struct AllotmentCheck {
  allotments::SharedNodeAllotments& node;
  const EntryCodec& codec;
  telemetry::Metrics& metrics;
};

// Counts the request of the organisation, which may be null. Returns false if
// it is beyond the allotment and was answered.
bool PassesAllotment(const AllotmentCheck& check,
                     transport::Exchange& exchange,
                     const CallerRequest& caller,
                     const routes::Route& route,
                     const organisations::Organisation* organisation,
                     SteadyTime now);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_ALLOTMENT_CHECK_H_
