// Admission control and latency estimates of one service on this node, under
// one lock.

#ifndef GOOSEBERRYROCK_NODE_SERVICE_ADMISSION_H_
#define GOOSEBERRYROCK_NODE_SERVICE_ADMISSION_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "gooseberryrock/base/rank.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/node/service_view.h"
#include "gooseberryrock/query/admission.h"
#include "gooseberryrock/query/service_estimates.h"

namespace gooseberryrock::node {

class ServiceAdmission {
 public:
  // Whether Update() must be called before the next Enter().
  bool IsOutdated(const std::shared_ptr<const ServiceView>& view) const;
  // `server_slots` is the number of slots of the shard that has the fewest in
  // all its replicas together, `nodes` the number of nodes that share them.
  void Update(std::shared_ptr<const ServiceView> view,
              uint32_t server_slots,
              uint32_t nodes);

  // Waits until a query may start and returns its policy. Returns nothing and
  // sets `retry_after` if the query is refused.
  std::optional<query::QueryPolicy> Enter(Rank rank,
                                          SteadyTime deadline,
                                          Duration& retry_after);
  // Ends a query admitted by Enter() that ran for `run_time`.
  void Leave(Rank rank, Duration run_time);

  void RecordSubquery(Rank rank, Duration elapsed);
  // Mean time of a subquery of the service; zero if unknown.
  Duration MeanSubqueryTime() const;
  // Time without a reply after which a connection with an unanswered subquery
  // counts as silent.
  Duration SilenceTimeout(Rank rank) const;

 private:
  enum class WaiterState { kWaiting, kStarted, kRefused };
  struct Waiter {
    WaiterState state = WaiterState::kWaiting;
    Duration retry_after = Duration::zero();
    std::condition_variable changed;
  };

  // Requires the lock to be held.
  void Refresh(SteadyTime now);
  void Apply(const query::AdmissionEffects& effects);

  mutable std::mutex mutex_;
  // All members below are guarded by `mutex_`.
  std::shared_ptr<const ServiceView> view_;
  uint32_t server_slots_ = 1;
  uint32_t nodes_ = 1;
  query::AdmissionState admission_;
  query::ServiceEstimates estimates_;
  query::ServicePolicies policies_;
  query::AdmissionTicket next_ticket_ = 1;
  std::map<query::AdmissionTicket, Waiter> waiters_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_SERVICE_ADMISSION_H_
