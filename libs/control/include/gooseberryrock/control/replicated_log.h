// The replicated log on a control VM: one thread that owns the consensus state,
// the data folder and the state machine.

#ifndef GOOSEBERRYROCK_CONTROL_REPLICATED_LOG_H_
#define GOOSEBERRYROCK_CONTROL_REPLICATED_LOG_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/consensus/consensus.h"
#include "gooseberryrock/control/log_status.h"
#include "gooseberryrock/control/state_machine.h"
#include "gooseberryrock/control/submit_result.h"

namespace gooseberryrock::control {

struct ReplicatedLogOptions {
  NodeId self;
  std::string cluster;
  // Must exist.
  std::string data_folder;
  // The control VMs of a new cluster, this one among them, with their
  // addresses. Empty on a VM that joins an existing log.
  std::map<NodeId, std::string> initial_members;
  consensus::ConsensusConfig config;
};

class ReplicatedLog {
 public:
  using DoneHandler = std::function<void(SubmitResult)>;
  // Sends an encoded consensus message.
  using MessageSender = std::function<void(const NodeId& to, std::string body)>;

  // Throws StorageError when the data folder cannot be used.
  ReplicatedLog(const ReplicatedLogOptions& options,
                StateMachine machine,
                MessageSender send);
  ReplicatedLog(const ReplicatedLog&) = delete;
  ReplicatedLog& operator=(const ReplicatedLog&) = delete;
  // Answers what is still open with kUnknown.
  ~ReplicatedLog();

  // All functions may be called on any thread. Handlers are called once, on
  // the log's thread, and must not block.

  // Appends an entry when this VM leads.
  void Submit(std::string payload, DoneHandler done);
  void ChangeMembership(consensus::MembershipChange change, DoneHandler done);
  // Calls `done` with kDone and what `read` returns when this VM leads and its
  // state is provably up to date. `read` runs on the log's thread.
  void Read(std::function<std::string()> read, DoneHandler done);
  // A consensus message from another VM. A malformed one is dropped.
  void OnMessage(std::string body);

  LogStatus Status() const;
  const std::string& storage_id() const;

  // Hands the leadership on before a graceful shutdown. Returns when another
  // VM leads, or after the election timeout.
  void TransferLeadership();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_REPLICATED_LOG_H_
