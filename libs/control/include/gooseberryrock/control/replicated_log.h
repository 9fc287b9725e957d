// Runtime of the replicated log on a control VM. One thread owns the consensus
// state, the data folder and the state machine.

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
#include "gooseberryrock/storage/file_operations.h"

namespace gooseberryrock::control {

struct ReplicatedLogOptions {
  NodeId self;
  std::string cluster;
  // Must exist.
  std::string data_folder;
  // Addresses of the control VMs of a new cluster, including this one. Empty on
  // a VM that joins an existing log.
  std::map<NodeId, std::string> initial_members;
  consensus::ConsensusConfig config;
  // Opens the files of the data folder, at the start and again after a failure
  // of the storage. Replaced by tests.
  std::function<storage::FileOperations()> open_files =
      storage::PosixFileOperations;
};

class ReplicatedLog {
 public:
  using DoneHandler = std::function<void(SubmitResult)>;
  // Sends an encoded consensus message.
  using MessageSender = std::function<void(const NodeId& to, std::string body)>;

  // Throws StorageError if the data folder is unusable.
  ReplicatedLog(const ReplicatedLogOptions& options,
                StateMachine machine,
                MessageSender send);
  ReplicatedLog(const ReplicatedLog&) = delete;
  ReplicatedLog& operator=(const ReplicatedLog&) = delete;
  // Completes pending requests with kUnknown, and those that were not handled
  // yet with kNotRun.
  ~ReplicatedLog();

  // All functions are thread-safe. Handlers are called exactly once, on the
  // log's thread, and must not block.

  // Appends an entry if this VM is the leader.
  void Submit(std::string payload, DoneHandler done);
  void ChangeMembership(consensus::MembershipChange change, DoneHandler done);
  // Linearizable read: calls `done` with kDone and the result of `read` if this
  // VM is the leader and holds the lease. `read` runs on the log's thread.
  void Read(std::function<std::string()> read, DoneHandler done);
  // Handles a consensus message from another VM. Drops malformed messages.
  void OnMessage(std::string body);

  LogStatus Status() const;
  const std::string& storage_id() const;

  // Transfers leadership before a graceful shutdown. Returns when this VM is no
  // longer the leader, or after the minimum election timeout.
  void TransferLeadership();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::control

#endif  // GOOSEBERRYROCK_CONTROL_REPLICATED_LOG_H_
