// Conversions between the counts and grants of allotments and their messages.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_ALLOTMENTS_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_ALLOTMENTS_H_

namespace gooseberryrock::allotments {
struct AllotmentGrant;
struct AllotmentReport;
struct AllotmentTotals;
}  // namespace gooseberryrock::allotments

namespace gooseberryrock::proto {

class AllotmentGrant;
class AllotmentReport;
class AllotmentTotals;

AllotmentReport ToMessage(const allotments::AllotmentReport& report);
AllotmentGrant ToMessage(const allotments::AllotmentGrant& grant);
AllotmentTotals ToMessage(const allotments::AllotmentTotals& totals);

// Throw MalformedMessageError if a number is not finite or out of range.
allotments::AllotmentReport FromMessage(const AllotmentReport& message);
allotments::AllotmentGrant FromMessage(const AllotmentGrant& message);
allotments::AllotmentTotals FromMessage(const AllotmentTotals& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_ALLOTMENTS_H_
