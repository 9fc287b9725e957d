// The identifiers that the libraries share.

#ifndef GOOSEBERRYROCK_BASE_IDS_H_
#define GOOSEBERRYROCK_BASE_IDS_H_

#include "gooseberryrock/base/strong_id.h"

namespace gooseberryrock {

// A process of the query tier.
using NodeId = StrongId<struct NodeIdTag>;
// One announced process behind the query tier.
using BackendServerId = StrongId<struct BackendServerIdTag>;
// A group of VMs that fail together or are cut off together.
using FailureDomain = StrongId<struct FailureDomainTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using ShardId = StrongId<struct ShardIdTag>;
// Chosen by the caller; unique for each request, equal for its resends.
using RequestId = StrongId<struct RequestIdTag>;
// Chosen by the operator's client; equal for the resends of one command.
using CommandId = StrongId<struct CommandIdTag>;

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_BASE_IDS_H_
