// Conversions between claims, suspect queries and their messages.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_CLAIMS_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_CLAIMS_H_

#include <vector>

#include <google/protobuf/repeated_ptr_field.h>

#include "gooseberryrock/claims/claims.h"

namespace gooseberryrock::claims {
struct CrashNotice;
struct CrashSuspicion;
}  // namespace gooseberryrock::claims

namespace gooseberryrock::proto {

class ClaimReply;
class ClaimRequest;
class CrashSuspicion;
class OutcomeRequest;
class RecordReply;
class ReleaseRequest;
class RequestCrashes;

ClaimRequest ToMessage(const claims::ClaimEntry& entry);
OutcomeRequest ToMessage(const claims::OutcomeEntry& entry);
ReleaseRequest ToMessage(const claims::ReleaseEntry& entry);
ClaimReply ToMessage(const claims::ClaimResult& result);
RecordReply ToMessage(claims::RecordStatus status);
CrashSuspicion ToMessage(const claims::CrashSuspicion& suspicion);

// The entries have no leader time; the leader sets it. These functions throw
// MalformedMessageError if the holder is missing.
claims::ClaimEntry FromMessage(const ClaimRequest& message);
claims::OutcomeEntry FromMessage(const OutcomeRequest& message);
claims::ReleaseEntry FromMessage(const ReleaseRequest& message);

// Throw MalformedMessageError if the status, or the holder of an existing
// claim, is missing. Also throw for statuses of an entry that is not in the log
// (..._NOT_RUN) or may not be (..._UNKNOWN); check the message for these first.
claims::ClaimResult FromMessage(const ClaimReply& message);
claims::RecordStatus FromMessage(const RecordReply& message);

// Throws MalformedMessageError if the server of a crash is missing or there are
// more than kMaxCrashes crashes.
claims::CrashSuspicion FromMessage(const CrashSuspicion& message);

// Appends the notices to `messages`.
void AddCrashNotices(
    const std::vector<claims::CrashNotice>& notices,
    google::protobuf::RepeatedPtrField<RequestCrashes>& messages);

// Throws MalformedMessageError if there are more than kMaxCrashIds crashes of a
// kind.
std::vector<claims::CrashNotice> ReadCrashNotices(
    const google::protobuf::RepeatedPtrField<RequestCrashes>& messages);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_CLAIMS_H_
