// Transition from one reservation to the next without exceeding connection
// limits while some nodes still use the previous reservation.
//
// A node uses the lowest share of all reservations from the last one known to
// be in force everywhere up to its newest one. Every node thus stays within
// that common reservation until all nodes have moved on. Two more rules are
// needed: the leader accepts a new reservation only when the previous one is in
// force everywhere (MayChangeReservation), so that no node skips one; and a
// starting node opens no connection before it knows that its reservation is in
// force everywhere.

#ifndef GOOSEBERRYROCK_DIRECTORY_RESERVATION_HISTORY_H_
#define GOOSEBERRYROCK_DIRECTORY_RESERVATION_HISTORY_H_

#include <cstdint>
#include <vector>

#include "gooseberryrock/directory/reservation.h"

namespace gooseberryrock::directory {

struct ReservationStep {
  // Catalog version that introduced the reservation.
  uint64_t version = 0;
  Reservation reservation;
};

struct ReservationHistory {
  // In order of increasing version. The first is in force everywhere if
  // `settled`.
  std::vector<ReservationStep> steps;
  bool settled = false;
};

// Puts a reservation in force at this node. Ignored unless it is newer than the
// last one.
void PutReservation(ReservationHistory& history, ReservationStep step);

// Handles the notification that all nodes report a catalog version of at least
// `version` in force. Notifications may be late or repeated. The leader alone
// determines the version, over every node that may hold connections, and must
// include this node's own report before it notifies this node.
void OnInForceEverywhere(ReservationHistory& history, uint64_t version);

// Returns the current connection share of this node; 0 while it must not
// connect.
uint32_t CurrentConnectionShare(const ReservationHistory& history,
                                uint32_t limit,
                                const FailureDomain& server_domain,
                                const ReservedPlace& place);

// Returns whether the leader may accept a new reservation, given the catalog
// version that introduced the current one.
bool MayChangeReservation(uint64_t reservation_version,
                          uint64_t in_force_everywhere);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_RESERVATION_HISTORY_H_
