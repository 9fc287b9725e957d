// Signals that a node handles itself.

#include "block_signals.h"

#include <pthread.h>

#include <initializer_list>

namespace gooseberryrock {

sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int it : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, it);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace gooseberryrock
