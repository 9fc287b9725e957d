// Recovery of a replicated log that has lost its majority for good.

#include "gooseberryrock/control/log_recovery.h"

#include <random>

#include "gooseberryrock/consensus/consensus.h"
#include "gooseberryrock/storage/file_operations.h"
#include "gooseberryrock/storage/identity.h"
#include "gooseberryrock/storage/log_store.h"
#include "gooseberryrock/storage/storage_error.h"

namespace gooseberryrock::control {

namespace {

storage::Identity ReadIdentity(const storage::FileOperations& files,
                               const std::string& data_folder,
                               const std::string& cluster,
                               const NodeId& node) {
  if (!files.read(data_folder + "/identity")) {
    throw storage::StorageError("data folder " + data_folder +
                                " is not one of a control VM");
  }
  std::mt19937_64 random(std::random_device{}());
  return storage::LoadOrCreateIdentity(files, data_folder, cluster, node,
                                       random);
}

StoredLog Describe(const consensus::StoredState& state) {
  StoredLog log = {state.snapshot.last, state.snapshot.membership};
  for (const consensus::LogEntry& it : state.entries) {
    log.last = it.position;
    if (it.kind == consensus::EntryKind::kMembership) {
      log.membership = it.membership;
    }
  }
  return log;
}

}  // namespace

StoredLog ReadStoredLog(const std::string& data_folder,
                        const std::string& cluster,
                        const NodeId& node) {
  const storage::FileOperations files = storage::PosixFileOperations();
  ReadIdentity(files, data_folder, cluster, node);
  storage::LogStore store(files, data_folder);
  return Describe(store.Load({}));
}

StoredLog MakeSoleVoter(const std::string& data_folder,
                        const std::string& cluster,
                        const NodeId& node) {
  const storage::FileOperations files = storage::PosixFileOperations();
  const storage::Identity identity =
      ReadIdentity(files, data_folder, cluster, node);
  storage::LogStore store(files, data_folder);
  const consensus::StoredState state = store.Load({});
  StoredLog result = Describe(state);
  if (result.last.index == 0) {
    throw storage::StorageError("data folder " + data_folder +
                                " holds no entry of the log");
  }
  consensus::HardState hard_state = state.hard_state;
  ++hard_state.term;
  hard_state.voted_for = node;
  hard_state.suspended = false;
  consensus::LogEntry entry;
  entry.position = {hard_state.term, result.last.index + 1};
  entry.kind = consensus::EntryKind::kMembership;
  entry.membership.members[node] = {identity.storage_id, node.value,
                                    /*voter=*/true};
  hard_state.acknowledged = {hard_state.term, entry.position.index};
  store.Append(entry);
  store.SetHardState(hard_state);
  store.Sync();
  result.last = entry.position;
  result.membership = entry.membership;
  return result;
}

}  // namespace gooseberryrock::control
