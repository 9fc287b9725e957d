// The connections of callers on one I/O thread and their memory.

#include "caller_account.h"

#include <iterator>
#include <vector>

#include "gooseberryrock/base/clock.h"
#include "web_session.h"

namespace gooseberryrock::transport {

namespace {

std::vector<ConnectionUse> UsesOf(const std::set<WebSession*>& sessions) {
  const SteadyTime now = BootTime();
  std::vector<ConnectionUse> uses;
  uses.reserve(sessions.size());
  for (const WebSession* it : sessions) {
    uses.push_back(it->Use(now));
  }
  return uses;
}

}  // namespace

void CallerAccount::Add(WebSession& session, const ConnectionLimits& limits) {
  sessions_.insert(&session);
  // Below this no limit can be exceeded.
  const size_t lowest =
      limits.per_address > 0 ? limits.per_address : limits.total;
  if (lowest == 0 || sessions_.size() <= lowest) {
    return;
  }
  const auto newest = static_cast<size_t>(
      std::distance(sessions_.begin(), sessions_.find(&session)));
  if (const auto i = ChooseToClose(UsesOf(sessions_), limits, newest)) {
    (*std::next(sessions_.begin(), static_cast<std::ptrdiff_t>(*i)))->Evict();
  }
}

void CallerAccount::Remove(WebSession& session) {
  sessions_.erase(&session);
}

void CallerAccount::Resize(size_t before, size_t after, size_t limit) {
  used_ = used_ - before + after;
  if (after <= before) {
    return;
  }
  while (static_cast<double>(used_) >
         kHeavyShare * static_cast<double>(limit)) {
    const auto i = ChooseToRefuse(UsesOf(sessions_), limit);
    if (!i) {
      return;
    }
    (*std::next(sessions_.begin(), static_cast<std::ptrdiff_t>(*i)))->Refuse();
  }
}

}  // namespace gooseberryrock::transport
