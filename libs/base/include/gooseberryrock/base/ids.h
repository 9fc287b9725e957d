// Identifiers shared by the libraries.

#ifndef GOOSEBERRYROCK_BASE_IDS_H_
#define GOOSEBERRYROCK_BASE_IDS_H_

#include "gooseberryrock/base/strong_id.h"

namespace gooseberryrock {

// A process of the query tier.
using NodeId = StrongId<struct NodeIdTag>;
// An announced process behind the query tier.
using BackendServerId = StrongId<struct BackendServerIdTag>;
// A group of VMs that fail together or lose connectivity together.
using FailureDomain = StrongId<struct FailureDomainTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using ShardId = StrongId<struct ShardIdTag>;
// A customer whose callers identify themselves by a key.
using OrganisationName = StrongId<struct OrganisationNameTag>;
// Chosen by the caller; unique for each request and the same when it is resent.
using RequestId = StrongId<struct RequestIdTag>;
// Chosen by the operator's client; the same when a command is resent.
using CommandId = StrongId<struct CommandIdTag>;

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_IDS_H_
