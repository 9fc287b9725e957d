// Limits the queries in flight and refuses new ones during shutdown.

#ifndef GOOSEBERRYROCK_NODE_DRAIN_GATE_H_
#define GOOSEBERRYROCK_NODE_DRAIN_GATE_H_

#include <condition_variable>
#include <cstddef>
#include <mutex>

#include "gooseberryrock/base/time.h"

namespace gooseberryrock::node {

enum class AdmissionResult {
  kAdmitted,
  // The node is shutting down.
  kStopping,
  // `limit` queries are already in flight.
  kLimitReached,
};

class DrainGate {
 public:
  // Each admitted query must call Leave() when it ends.
  AdmissionResult Enter(size_t limit);
  void Leave();

  bool IsReady() const;
  size_t InFlight() const;

  // Steps of a graceful shutdown, called in this order.
  void FailReady();
  // Gives the load balancer time to detect that the node is not ready.
  void WaitBeforeRefusing(Duration wait);
  void RefuseNew();
  void WaitUntilIdle();

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by `mutex_`.
  bool ready_ = true;
  bool refusing_ = false;
  size_t in_flight_ = 0;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_DRAIN_GATE_H_
