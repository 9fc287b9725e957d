// The connections of callers on one I/O thread and the memory that they make
// the process hold: heads, bodies, and requests that wait or are in progress.
// Answers are in ReplyMemory.

#ifndef GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_CALLER_ACCOUNT_H_
#define GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_CALLER_ACCOUNT_H_

#include <cstddef>
#include <memory>
#include <set>

#include "gooseberryrock/transport/caller_limits.h"

namespace gooseberryrock::transport {

class WebSession;

// Used on one thread only.
class CallerAccount {
 public:
  CallerAccount() = default;
  CallerAccount(const CallerAccount&) = delete;
  CallerAccount& operator=(const CallerAccount&) = delete;

  // Adds a connection, and closes another one if the limits are exceeded.
  void Add(WebSession& session, const ConnectionLimits& limits);
  // Removes an open connection, which must hold nothing.
  void Remove(WebSession& session);
  // Changes the memory that a connection holds. If that exceeds `limit`,
  // connections are refused, possibly this one.
  void Resize(size_t before, size_t after, size_t limit);

 private:
  // Sum of the memory of `sessions_`.
  size_t used_ = 0;
  // Open connections.
  std::set<WebSession*> sessions_;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_CALLER_ACCOUNT_H_
