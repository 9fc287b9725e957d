// Names of the counters and gauges of a node.

#ifndef GOOSEBERRYROCK_TELEMETRY_METRIC_NAMES_H_
#define GOOSEBERRYROCK_TELEMETRY_METRIC_NAMES_H_

#include <cstddef>
#include <string_view>

namespace gooseberryrock::telemetry {

// Counters increase from the start of the process.
enum class Counter {
  kBadRequests,
  kUnauthorizedRequests,
  kAdmissionRefused,
  kAttemptsSent,
  kHedges,
  kRetries,
  kAttemptsCancelled,
  kAttemptsFailed,
  kAnnouncements,
  kServersExpired,
  kServerCrashes,
  kClaimsAccepted,
  kClaimsNotRun,
  kClaimsOutcomeUnknown,
  kCommandsAccepted,
  kCommandsRefused,
  kRequestsWithoutRoute,
  kRequestsWithoutAccess,
  kRequestsNotConfirmed,
  kRequestsWithinAllotment,
  kRequestsOverAllotment,
  kCallersGone,
  kForeignReplies,
  kServerConnectsFailed,
  kServerStatementsMalformed,
  kCrashingRequestsRefused,
  kRepliesGivenUp,
  kCallersRefused,
  kCallersEvicted,
  kRequestsPassedOn,
  kGatheredForOthers,
  kGatherNodesSilent,
  kGatherNodesUnavailable,
  kRoutesStored,
  kRoutesRefused,
  kPeerFramesSent,
  kPeerFramesReceived,
  kPeerFramesWrongMac,
  kPeerFramesOtherCluster,
  kPeerFramesOldVersion,
  kPeerFramesOversized,
  kPeerFramesTruncated,
  kCount,
};

// Gauges hold the last value set.
enum class Gauge {
  kQueriesInFlight,
  kServersReady,
  kServersDraining,
  kServersLimited,
  kServersResting,
  kServersLeaving,
  kCatalogVersion,
  kCatalogAgeSeconds,
  kPeersReachable,
  kIsLeader,
  kHasLeader,
  kTerm,
  kCommitIndex,
  kStorageRefused,
  kReady,
  kRoutesVersion,
  kControlAnswerAgeSeconds,
  kEntryNodes,
  kCrashRecords,
  kReplyMemoryBytes,
  kGatherNodes,
  kVoters,
  kVotersPresent,
  kToleratedLosses,
  kCount,
};

inline constexpr size_t kCounterCount = static_cast<size_t>(Counter::kCount);
inline constexpr size_t kGaugeCount = static_cast<size_t>(Gauge::kCount);

// The exposed name and a help text of one sentence.
struct MetricName {
  std::string_view name;
  std::string_view help;
};

MetricName NameOf(Counter counter);
MetricName NameOf(Gauge gauge);

}  // namespace gooseberryrock::telemetry

#endif  // GOOSEBERRYROCK_TELEMETRY_METRIC_NAMES_H_
