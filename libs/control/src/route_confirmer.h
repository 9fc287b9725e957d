// Asks the leader of the replicated log which version of the routes is the
// newest. Entry nodes may serve callers with keys only while they know that.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CONFIRMER_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CONFIRMER_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/routes/route_confirmation.h"

namespace gooseberryrock::proto {
class EntryPoll;
class EntryPollReply;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::control {

class ControlClient;

class RouteConfirmer {
 public:
  // Asks each `interval`; never if it is zero. `client` must outlive this
  // object.
  RouteConfirmer(ControlClient& client, Duration interval);
  RouteConfirmer(const RouteConfirmer&) = delete;
  RouteConfirmer& operator=(const RouteConfirmer&) = delete;
  ~RouteConfirmer();

  // Adds the last answer and its age, if there is one. Thread-safe.
  void AnswerPoll(const proto::EntryPoll& poll,
                  proto::EntryPollReply& reply,
                  SteadyTime now) const;

 private:
  void Run();

  ControlClient& client_;
  const Duration interval_;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  routes::RouteConfirmation last_;
  bool stopping_ = false;
  std::condition_variable stop_;

  std::thread thread_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_CONFIRMER_H_
