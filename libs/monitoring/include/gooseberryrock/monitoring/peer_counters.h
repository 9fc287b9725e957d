// Counters of the frames exchanged with other nodes.

#ifndef GOOSEBERRYROCK_MONITORING_PEER_COUNTERS_H_
#define GOOSEBERRYROCK_MONITORING_PEER_COUNTERS_H_

namespace gooseberryrock::peer {
struct PeerStats;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::monitoring {

// Adds the difference between two snapshots of the socket statistics.
void CountPeerFrames(telemetry::Metrics& metrics,
                     const peer::PeerStats& before,
                     const peer::PeerStats& now);

}  // namespace gooseberryrock::monitoring

#endif  // GOOSEBERRYROCK_MONITORING_PEER_COUNTERS_H_
