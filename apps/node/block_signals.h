// Signals that a node handles itself.

#ifndef GOOSEBERRYROCK_APPS_NODE_BLOCK_SIGNALS_H_
#define GOOSEBERRYROCK_APPS_NODE_BLOCK_SIGNALS_H_

#include <csignal>

namespace gooseberryrock {

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in all threads that it
// starts afterwards, and returns them, to be waited for. Must be called before
// the first thread is started, which includes the writer thread of the log: a
// signal that arrives while the main thread drains the node would otherwise be
// delivered to that thread and end the process.
sigset_t BlockSignals();

}  // namespace gooseberryrock

#endif  // GOOSEBERRYROCK_APPS_NODE_BLOCK_SIGNALS_H_
