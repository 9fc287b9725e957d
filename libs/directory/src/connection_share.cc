// Divides the connection limit of a backend server among the nodes.

#include "gooseberryrock/directory/connection_share.h"

#include <algorithm>

namespace gooseberryrock::directory {

namespace {

// Weight of a place in the server's failure domain relative to one elsewhere.
constexpr uint64_t kLocalWeight = 2;

// All places in sequence: those of the server's failure domain, then the others
// in the order of their domains.
struct PlaceCounts {
  uint64_t inside = 0;
  uint64_t outside = 0;
  uint64_t index = 0;
};

PlaceCounts CountPlaces(const Reservation& reservation,
                        const FailureDomain& server_domain,
                        const ReservedPlace& place) {
  PlaceCounts places;
  places.index = place.position;
  for (const auto& [domain, n] : reservation) {
    if (domain == server_domain) {
      places.inside = n;
    } else {
      places.outside += n;
      if (place.domain != server_domain && domain < place.domain) {
        places.index += n;
      }
    }
  }
  if (place.domain != server_domain) {
    places.index += places.inside;
  }
  return places;
}

uint64_t LocalConnections(uint64_t rest, const PlaceCounts& places) {
  if (places.inside == 0) {
    return 0;
  }
  if (places.outside == 0) {
    return rest;
  }
  const uint64_t weight = kLocalWeight * places.inside;
  return std::max((2 * rest + 2) / 3,
                  rest * weight / (weight + places.outside));
}

// Returns the share if there are at most as many connections as places.
uint32_t ScarceShare(uint32_t limit,
                     const PlaceCounts& places,
                     uint64_t rotation) {
  if (places.index < places.inside) {
    return (places.index + rotation) % places.inside < limit ? 1 : 0;
  }
  const uint64_t index = places.index - places.inside;
  const uint64_t rest = limit > places.inside ? limit - places.inside : 0;
  return (index + rotation) % places.outside < rest ? 1 : 0;
}

}  // namespace

uint32_t ConnectionShare(uint32_t limit,
                         const Reservation& reservation,
                         const FailureDomain& server_domain,
                         const ReservedPlace& place,
                         uint64_t rotation) {
  auto it = reservation.find(place.domain);
  if (it == reservation.end() || place.position >= it->second) {
    return 0;
  }
  const PlaceCounts places = CountPlaces(reservation, server_domain, place);
  const uint64_t total = places.inside + places.outside;
  if (limit <= total) {
    return ScarceShare(limit, places, rotation);
  }
  const uint64_t rest = limit - total;
  const bool is_inside = places.index < places.inside;
  const uint64_t local_connections = LocalConnections(rest, places);
  const uint64_t part =
      is_inside ? local_connections : rest - local_connections;
  const uint64_t n = is_inside ? places.inside : places.outside;
  const uint64_t index =
      is_inside ? places.index : places.index - places.inside;
  return static_cast<uint32_t>(1 + part / n + (index < part % n ? 1 : 0));
}

}  // namespace gooseberryrock::directory
