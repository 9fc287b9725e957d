// The number of nodes per failure domain among which the connection limits of
// the backend servers are divided.

#ifndef GOOSEBERRYROCK_DIRECTORY_RESERVATION_H_
#define GOOSEBERRYROCK_DIRECTORY_RESERVATION_H_

#include <cstdint>
#include <map>

#include "gooseberryrock/base/ids.h"

namespace gooseberryrock::directory {

using Reservation = std::map<FailureDomain, uint32_t>;

// Returns the number of nodes in all failure domains.
inline uint32_t CountNodes(const Reservation& reservation) {
  uint32_t nodes = 0;
  for (const auto& [domain, n] : reservation) {
    nodes += n;
  }
  return nodes;
}

// The place of a node in a reservation.
struct ReservedPlace {
  FailureDomain domain;
  // Zero-based position among the nodes of the failure domain. Two running
  // nodes never have the same place.
  uint32_t position = 0;
};

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_RESERVATION_H_
