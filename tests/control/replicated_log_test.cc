// Runs the replicated log with its threads over disks that are full for a time,
// and calls to it while its leader fails.

#include "gooseberryrock/control/replicated_log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryrock/control/control_client.h"
#include "gooseberryrock/control/log_status.h"
#include "gooseberryrock/peer/peer_process.h"
#include "gooseberryrock/storage/file_operations.h"
#include "gooseberryrock/storage/storage_error.h"
#include "peer.pb.h"

namespace gooseberryrock::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

// While `full`, every write fails, after half of the data was written.
storage::FileOperations OpenFiles(const std::atomic<bool>& full) {
  storage::FileOperations files = storage::PosixFileOperations();
  const auto check = [&full] {
    if (full) {
      throw storage::StorageError("no space left on device");
    }
  };
  const auto posix = files;
  files.create = [=](const std::string& path) {
    check();
    posix.create(path);
  };
  files.append = [=, &full](const std::string& path, std::string_view data) {
    if (full) {
      posix.append(path, data.substr(0, data.size() / 2));
    }
    check();
    posix.append(path, data);
  };
  files.sync = [=](const std::string& path) {
    check();
    posix.sync(path);
  };
  files.truncate = [=](const std::string& path, uint64_t size) {
    check();
    posix.truncate(path, size);
  };
  return files;
}

struct LogCluster;

struct LogVm {
  std::atomic<bool> full = false;
  std::string folder;
  std::unique_ptr<ReplicatedLog> log;
};

// Control VMs in this process, which pass messages to each other directly.
struct LogCluster {
  explicit LogCluster(int n) {
    const auto root = std::filesystem::temp_directory_path() /
                      ("gbr_replicated_log_" + std::to_string(getpid()));
    std::filesystem::remove_all(root);
    ReplicatedLogOptions options;
    options.cluster = "test";
    for (int i = 0; i < n; ++i) {
      options.initial_members[{"vm" + std::to_string(i)}] = "address";
    }
    for (const auto& [id, address] : options.initial_members) {
      LogVm& vm = vms[id];
      vm.folder = root / id.value;
      std::filesystem::create_directories(vm.folder);
    }
    for (auto& [id, vm] : vms) {
      options.self = id;
      options.data_folder = vm.folder;
      options.open_files = [&full = vm.full] { return OpenFiles(full); };
      StateMachine machine;
      machine.apply = [](std::string_view payload) {
        return std::string(payload);
      };
      machine.snapshot = [] { return std::string(); };
      machine.reset = [] {};
      machine.restore = [](std::string_view /*data*/) {};
      auto log = std::make_unique<ReplicatedLog>(
          options, machine,
          [this, from = id](const NodeId& to, std::string body) {
            std::lock_guard lock(mutex);
            auto it = vms.find(to);
            if (it != vms.end() && !cut_off.contains(from) &&
                !cut_off.contains(to) && it->second.log) {
              it->second.log->OnMessage(std::move(body));
            }
          });
      std::lock_guard lock(mutex);
      vm.log = std::move(log);
    }
  }

  ~LogCluster() {
    for (auto& [id, vm] : vms) {
      std::unique_ptr<ReplicatedLog> log;
      {
        std::lock_guard lock(mutex);
        log = std::move(vm.log);
      }
    }
  }

  ReplicatedLog* Leader() {
    for (auto& [id, vm] : vms) {
      if (vm.log->Status().leader == id) {
        return vm.log.get();
      }
    }
    return nullptr;
  }

  // Guards `log` of the VMs while they start and stop.
  std::mutex mutex;
  std::map<NodeId, LogVm> vms;
  // VMs whose messages are lost; guarded by `mutex`.
  std::set<NodeId> cut_off;
};

bool WaitFor(const std::function<bool()>& condition, Clock::duration time) {
  const auto end = Clock::now() + time;
  std::mutex mutex;
  std::condition_variable wait;
  std::unique_lock lock(mutex);
  while (!condition()) {
    if (Clock::now() >= end) {
      return false;
    }
    wait.wait_for(lock, milliseconds(5), [] { return false; });
  }
  return true;
}

// Whether an entry is acknowledged within `time`, by any leader.
bool IsAcknowledged(LogCluster& cluster, Clock::duration time) {
  auto done = std::make_shared<std::atomic<int>>(0);
  return WaitFor(
      [&] {
        if (ReplicatedLog* leader = cluster.Leader()) {
          leader->Submit("entry", [done](const SubmitResult& it) {
            *done += it.status == SubmitStatus::kDone ? 1 : 0;
          });
        }
        return *done > 0;
      },
      time);
}

// Counts calls and the handlers that were called for them.
struct Calls {
  ReplicatedLog::DoneHandler Expect() {
    ++expected;
    return [this](const SubmitResult& /*result*/) { ++done; };
  }
  bool AllDone() const { return done == expected; }

  int expected = 0;
  std::atomic<int> done = 0;
};

// The disk fills up between two calls that the log handles together. Guards
// against leaving the later ones without an outcome: a caller would wait until
// its timeout, and the repair of the membership, which has one change at a
// time, would stop until the process restarts.
TEST(ReplicatedLogTest, FailedStorageLeavesNoCallWithoutOutcome) {
  LogCluster cluster(1);
  ASSERT_TRUE(IsAcknowledged(cluster, seconds(10)));
  LogVm& vm = cluster.vms.begin()->second;
  std::promise<void> blocked;
  std::promise<void> go_on;
  Calls calls;
  vm.log->Read(
      [&] {
        blocked.set_value();
        go_on.get_future().wait();
        return std::string();
      },
      calls.Expect());
  blocked.get_future().wait();
  vm.log->Read(
      [&] {
        vm.full = true;
        return std::string();
      },
      calls.Expect());
  consensus::MembershipChange change;
  change.action = consensus::MembershipAction::kAddLearner;
  change.node = {"vm8"};
  change.storage_id = "storage";
  change.peer_address = "address";
  vm.log->ChangeMembership(change, calls.Expect());
  vm.log->Submit("entry", calls.Expect());
  vm.log->Read([] { return std::string(); }, calls.Expect());
  change.node = {"vm9"};
  vm.log->ChangeMembership(change, calls.Expect());
  go_on.set_value();
  EXPECT_TRUE(WaitFor([&] { return calls.AllDone(); }, seconds(5)))
      << calls.done << " of " << calls.expected;
  vm.full = false;
  EXPECT_TRUE(IsAcknowledged(cluster, seconds(10)));
}

// Guards against calls without an outcome when the log is destroyed while they
// wait.
TEST(ReplicatedLogTest, StopLeavesNoCallWithoutOutcome) {
  Calls calls;
  {
    LogCluster cluster(1);
    ASSERT_TRUE(IsAcknowledged(cluster, seconds(10)));
    ReplicatedLog& log = *cluster.vms.begin()->second.log;
    std::promise<void> blocked;
    log.Read(
        [&] {
          blocked.set_value();
          WaitFor([] { return false; }, milliseconds(100));
          return std::string();
        },
        calls.Expect());
    blocked.get_future().wait();
    log.Submit("entry", calls.Expect());
    log.Read([] { return std::string(); }, calls.Expect());
  }
  EXPECT_TRUE(calls.AllDone()) << calls.done << " of " << calls.expected;
}

// Load: a stream of entries while each disk in turn, the leader's among them,
// is full for a while; never two at once. Guards against a log that does not
// accept entries after the last disk has room again, and against a call without
// an outcome.
TEST(ReplicatedLogTest, DisksFullInTurnAreSurvived) {
  LogCluster cluster(3);
  ASSERT_TRUE(IsAcknowledged(cluster, seconds(10)));
  Calls calls;
  constexpr int kRounds = 2;
  for (int round = 0; round < kRounds; ++round) {
    for (auto& [id, vm] : cluster.vms) {
      vm.full = true;
      WaitFor(
          [&, n = 0]() mutable {
            if (++n % 4 == 0) {
              for (auto& [other, any] : cluster.vms) {
                any.log->Submit("entry", calls.Expect());
                any.log->Read([] { return std::string(); }, calls.Expect());
              }
            }
            return false;
          },
          milliseconds(900));
      vm.full = false;
      EXPECT_TRUE(IsAcknowledged(cluster, seconds(5)))
          << id.value << " was full, round " << round;
    }
  }
  EXPECT_TRUE(WaitFor([&] { return calls.AllDone(); }, seconds(5)))
      << calls.done << " of " << calls.expected;
  for (auto& [id, vm] : cluster.vms) {
    EXPECT_TRUE(WaitFor([&it = vm] { return !it.log->Status().storage_failed; },
                        seconds(5)))
        << id.value;
    EXPECT_FALSE(vm.log->Status().suspended) << id.value;
  }
}

// Clients of the VMs of a cluster, which pass calls to each other directly.
struct LogClients {
  explicit LogClients(LogCluster& log_cluster) : cluster(log_cluster) {
    for (auto& [id, vm] : cluster.vms) {
      clients[id] = std::make_unique<ControlClient>(
          ControlClientOptions{id, {id}}, vm.log.get(),
          [this, self = id](const NodeId& to, const proto::ForwardRequest& it) {
            if (IsConnected(self, to)) {
              clients.at(to)->OnRequestFrame({self, 1}, it.SerializeAsString());
            }
          },
          [this, self = id](const peer::PeerProcess& to,
                            const proto::ForwardReply& it) {
            if (IsConnected(self, to.node)) {
              clients.at(to.node)->OnReplyFrame(it.SerializeAsString());
            }
          },
          [](const proto::ForwardRequest& /*call*/) {
            proto::ForwardReply reply;
            reply.mutable_routes()->set_version(1);
            return reply.SerializeAsString();
          });
    }
  }

  bool IsConnected(const NodeId& a, const NodeId& b) {
    std::lock_guard lock(cluster.mutex);
    return !cluster.cut_off.contains(a) && !cluster.cut_off.contains(b);
  }

  LogCluster& cluster;
  std::map<NodeId, std::unique_ptr<ControlClient>> clients;
};

// Guards against a call that goes on waiting for a leader that failed after the
// others have elected a new one: operators wait for a second.
TEST(ReplicatedLogTest, CallMovesToNewLeader) {
  constexpr milliseconds kMaxDelay{300};
  LogCluster cluster(3);
  LogClients clients(cluster);
  for (int round = 0; round < 5; ++round) {
    ASSERT_TRUE(IsAcknowledged(cluster, seconds(10)));
    const NodeId failed = cluster.Leader()->Status().leader;
    const auto follower =
        std::find_if(cluster.vms.begin(), cluster.vms.end(),
                     [&](const auto& it) { return it.first != failed; });
    ReplicatedLog& log = *follower->second.log;
    ASSERT_TRUE(
        WaitFor([&] { return log.Status().leader == failed; }, seconds(5)));
    {
      std::lock_guard lock(cluster.mutex);
      cluster.cut_off = {failed};
    }
    auto call = std::async(std::launch::async, [&] {
      proto::ForwardRequest request;
      request.mutable_read_routes();
      return clients.clients.at(follower->first)
          ->Call(std::move(request), seconds(5));
    });
    EXPECT_TRUE(WaitFor(
        [&] {
          const NodeId leader = log.Status().leader;
          return !leader.empty() && leader != failed;
        },
        seconds(5)));
    EXPECT_EQ(call.wait_for(kMaxDelay), std::future_status::ready);
    EXPECT_EQ(call.get().status, CallStatus::kDone);
    std::lock_guard lock(cluster.mutex);
    cluster.cut_off.clear();
  }
}

}  // namespace
}  // namespace gooseberryrock::control
