// How a node changes from one reservation to the next without exceeding a
// connection limit together with nodes that still use another one.
//
// A node uses the lowest share of all reservations from the last one that is
// known to be in force everywhere up to its newest one. So every node stays
// within that common reservation until all have left the ones before it. This
// needs two more rules: the leader accepts a new reservation only when the
// previous one is in force everywhere (MayChangeReservation), so that no node
// skips one; and a node that starts opens no connection before it knows that
// its reservation is in force everywhere.

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
  // By rising version. The first is in force everywhere if `settled`.
  std::vector<ReservationStep> steps;
  bool settled = false;
};

// The node puts a reservation in force. Ignored unless it is newer than the
// last one.
void PutReservation(ReservationHistory& history, ReservationStep step);

// All nodes report a catalog version of at least `version` in force. May be
// told more than once and late. One authority (the leader) decides it, over
// every node that may hold connections; it must count this node's own report
// before it tells this node.
void OnInForceEverywhere(ReservationHistory& history, uint64_t version);

// The share that this node may use now; 0 while it must not connect.
uint32_t ShareInForce(const ReservationHistory& history,
                      uint32_t limit,
                      const FailureDomain& server_domain,
                      const ReservedPlace& place);

// Whether the leader may accept a new reservation when the present one was
// introduced by `reservation_version`.
bool MayChangeReservation(uint64_t reservation_version,
                          uint64_t in_force_everywhere);

}  // namespace gooseberryrock::directory

#endif  // GOOSEBERRYROCK_DIRECTORY_RESERVATION_HISTORY_H_
