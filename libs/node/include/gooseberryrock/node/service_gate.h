// Admission and estimates of one service on this node, under one lock.

#ifndef GOOSEBERRYROCK_NODE_SERVICE_GATE_H_
#define GOOSEBERRYROCK_NODE_SERVICE_GATE_H_

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

class ServiceGate {
 public:
  // Whether Update() is needed before the next Enter().
  bool IsOutdated(const std::shared_ptr<const ServiceView>& view) const;
  // `server_slots` are the slots of the scarcest shard in all its replicas,
  // `nodes` the nodes that share them.
  void Update(std::shared_ptr<const ServiceView> view,
              uint32_t server_slots,
              uint32_t nodes);

  // Waits until a query may start; returns its parameters. Returns nothing when
  // the query is refused, and then sets `retry_after`.
  std::optional<query::QueryPolicy> Enter(Rank rank,
                                          SteadyTime deadline,
                                          Duration& retry_after);
  // Ends what a successful Enter() started `held` ago.
  void Leave(Rank rank, Duration held);

  void RecordSubquery(Rank rank, Duration elapsed);
  // Mean time of a subquery of the service; zero when it is not known.
  Duration TypicalSubquery() const;
  // When a connection with an unanswered subquery counts as silent.
  Duration SilenceOf(Rank rank) const;

 private:
  enum class Verdict { kWaiting, kStarted, kRefused };
  struct Waiter {
    Verdict verdict = Verdict::kWaiting;
    Duration retry_after = Duration::zero();
    std::condition_variable changed;
  };

  // The lock is held.
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

#endif  // GOOSEBERRYROCK_NODE_SERVICE_GATE_H_
