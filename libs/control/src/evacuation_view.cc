// The evacuated failure domains as a control VM reports them to entry nodes.

#include "evacuation_view.h"

#include "gooseberryrock/proto/convert_evacuation.h"
#include "peer.pb.h"

namespace gooseberryrock::control {

void EvacuationView::OnPending() {
  std::lock_guard lock(mutex_);
  has_pending_ = true;
}

void EvacuationView::OnApplied(const routes::EvacuatedDomains& evacuated) {
  std::lock_guard lock(mutex_);
  routes::FollowNewer(evacuated_, evacuated);
}

void EvacuationView::OnConfirmed(const routes::EvacuatedDomains& evacuated) {
  std::lock_guard lock(mutex_);
  routes::FollowNewer(evacuated_, evacuated);
  is_known_ = true;
}

bool EvacuationView::is_known() const {
  std::lock_guard lock(mutex_);
  return is_known_;
}

void EvacuationView::AnswerPoll(const proto::EntryPoll& poll,
                                proto::EntryPollReply& reply) const {
  std::lock_guard lock(mutex_);
  const bool is_known = is_known_ && reply.current();
  reply.set_evacuation_known(is_known);
  reply.set_evacuation_unconfirmed(!is_known &&
                                   (has_pending_ || evacuated_.version > 0));
  if (evacuated_.version > poll.evacuation_version()) {
    *reply.mutable_evacuated() = proto::ToMessage(evacuated_);
  }
}

}  // namespace gooseberryrock::control
