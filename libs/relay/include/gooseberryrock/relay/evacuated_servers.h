// What an evacuation of failure domains leaves of the servers of a request.

#ifndef GOOSEBERRYROCK_RELAY_EVACUATED_SERVERS_H_
#define GOOSEBERRYROCK_RELAY_EVACUATED_SERVERS_H_

#include <span>

namespace gooseberryrock::relay {

struct PoolServer;
struct ServicePool;

// Whether some node may send the server new requests.
bool IsOpenToWork(const PoolServer& server);

// Whether evacuations leave enough shards with a server to cover
// `minimum_coverage` of them. Shards without any server are no matter of
// evacuations and count as covered.
bool LeavesCoverage(std::span<ServicePool* const> shards,
                    double minimum_coverage);

}  // namespace gooseberryrock::relay

#endif  // GOOSEBERRYROCK_RELAY_EVACUATED_SERVERS_H_
