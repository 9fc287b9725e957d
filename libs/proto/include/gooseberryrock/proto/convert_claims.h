// Conversions between claims, crash suspicions and their messages.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_CLAIMS_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_CLAIMS_H_

#include "gooseberryrock/claims/claims.h"

namespace gooseberryrock::claims {
struct Suspicion;
}  // namespace gooseberryrock::claims

namespace gooseberryrock::proto {

class ClaimReply;
class ClaimRequest;
class CrashSuspicion;
class OutcomeRequest;
class RecordReply;
class ReleaseRequest;

ClaimRequest ToMessage(const claims::ClaimEntry& entry);
OutcomeRequest ToMessage(const claims::OutcomeEntry& entry);
ReleaseRequest ToMessage(const claims::ReleaseEntry& entry);
ClaimReply ToMessage(const claims::ClaimResult& result);
RecordReply ToMessage(claims::RecordStatus status);
CrashSuspicion ToMessage(const claims::Suspicion& suspicion);

// Without the leader's time, which the leader adds. All throw
// MalformedMessageError when the holder or a status is missing.
claims::ClaimEntry FromMessage(const ClaimRequest& message);
claims::OutcomeEntry FromMessage(const OutcomeRequest& message);
claims::ReleaseEntry FromMessage(const ReleaseRequest& message);

// Also throw for the statuses that say that the entry is not in the log
// (..._NOT_RUN) or may be (..._UNKNOWN); read the message for these.
claims::ClaimResult FromMessage(const ClaimReply& message);
claims::RecordStatus FromMessage(const RecordReply& message);

// Throws MalformedMessageError when a server is missing or there are more than
// kMaxCrashes.
claims::Suspicion FromMessage(const CrashSuspicion& message);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_CLAIMS_H_
