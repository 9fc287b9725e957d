// Brings the routes of entry nodes up to date.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_UPDATES_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_UPDATES_H_

#include <cstdint>
#include <mutex>

#include "gooseberryrock/routes/recent_texts.h"

namespace gooseberryrock::proto {
class EntryPoll;
class EntryPollReply;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::control {

struct StoredRoutes;

// Thread-safe.
class RouteUpdates {
 public:
  void OnStored(const StoredRoutes& stored);
  // Version of the newest routes, 0 if there are none.
  uint64_t Version() const;
  // Adds the newest routes if they are newer than those of the node: as a
  // difference if it has a recent version, otherwise whole.
  void AnswerPoll(const proto::EntryPoll& poll, proto::EntryPollReply& reply);

 private:
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  routes::RecentTexts recent_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_ROUTE_UPDATES_H_
