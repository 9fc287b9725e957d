// Enforces the allotments of organisations together with the other control VMs.

#ifndef GOOSEBERRYROCK_LIBS_CONTROL_SRC_ALLOTMENT_EXCHANGE_H_
#define GOOSEBERRYROCK_LIBS_CONTROL_SRC_ALLOTMENT_EXCHANGE_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "gooseberryrock/allotments/allotment_ledger.h"
#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/control/control_machine.h"

namespace gooseberryrock::peer {
struct PeerFrame;
}  // namespace gooseberryrock::peer

namespace gooseberryrock::proto {
class EntryPoll;
class EntryPollReply;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::control {

struct ControlCodec;

// Thread-safe.
class AllotmentExchange {
 public:
  struct Connections {
    // Sends encoded totals to all other control VMs.
    std::function<void(std::string totals)> send_totals;
    std::function<size_t()> count_entry_nodes;
    // The part of the nodes of each silent control VM that others hear of.
    std::function<std::map<NodeId, double>()> find_moved_nodes;
  };

  AllotmentExchange(const allotments::AllotmentPolicy& policy,
                    const ControlCodec& codec,
                    Connections connections);
  AllotmentExchange(const AllotmentExchange&) = delete;
  AllotmentExchange& operator=(const AllotmentExchange&) = delete;
  ~AllotmentExchange();

  // No more totals are sent after this.
  void Stop();
  // Returns at once: the routes are read on another thread.
  void SetRoutes(const StoredRoutes& routes);
  // Counts the report of the poll, if it has one, and adds the reply to it.
  // Throws MalformedMessageError.
  void AnswerPoll(const peer::PeerFrame& frame,
                  const proto::EntryPoll& poll,
                  proto::EntryPollReply& reply,
                  SteadyTime now);
  // Throws MalformedMessageError.
  void OnTotals(const peer::PeerFrame& frame, SteadyTime now);

 private:
  void Run();
  // Both require `lock`, which is released meanwhile.
  void ReadLimits(std::unique_lock<std::mutex>& lock);
  void SendTotals(std::unique_lock<std::mutex>& lock, bool is_complete);

  const ControlCodec& codec_;
  const Connections connections_;

  std::mutex mutex_;
  // Guarded by `mutex_`.
  allotments::AllotmentLedger ledger_;
  std::optional<StoredRoutes> new_routes_;
  bool stopping_ = false;
  std::condition_variable changed_;

  std::thread thread_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_LIBS_CONTROL_SRC_ALLOTMENT_EXCHANGE_H_
