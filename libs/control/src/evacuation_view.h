// The evacuated failure domains as a control VM reports them to entry nodes.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_EVACUATION_VIEW_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_EVACUATION_VIEW_H_

#include <mutex>

#include "gooseberryrock/routes/evacuation.h"

namespace gooseberryrock::proto {
class EntryPoll;
class EntryPollReply;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::control {

// Thread-safe.
class EvacuationView {
 public:
  // The log of this VM holds an order that it has not applied.
  void OnPending();

  // A version that this VM has applied.
  void OnApplied(const routes::EvacuatedDomains& evacuated);

  // The leader confirmed since the start of this VM that `evacuated` is the
  // newest version. Until then the VM may lack the end of the log.
  void OnConfirmed(const routes::EvacuatedDomains& evacuated);

  bool is_known() const;

  // `reply` already says whether this VM is current: after a suspension it may
  // lack the end of the log, too.
  void AnswerPoll(const proto::EntryPoll& poll,
                  proto::EntryPollReply& reply) const;

 private:
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  routes::EvacuatedDomains evacuated_;
  bool is_known_ = false;
  bool has_pending_ = false;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_EVACUATION_VIEW_H_
