// Counts the frames to and from other nodes.

#ifndef GOOSEBERRYROCK_MONITORING_PEER_COUNTERS_H_
#define GOOSEBERRYROCK_MONITORING_PEER_COUNTERS_H_

namespace gooseberryrock::peer {
struct PeerStats;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::monitoring {

// Adds what happened between the two states of a socket.
void CountPeerFrames(telemetry::Metrics& metrics,
                     const peer::PeerStats& before,
                     const peer::PeerStats& now);

}  // namespace gooseberryrock::monitoring

#endif  // GOOSEBERRYROCK_MONITORING_PEER_COUNTERS_H_
