// Keeps an entry node up to date.

#include "control_link.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "gooseberryrock/base/clock.h"
#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/entry/server_book.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/incarnation.h"
#include "gooseberryrock/peer/peer_socket.h"
#include "gooseberryrock/proto/binary_codec.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "peer.pb.h"

namespace gooseberryrock::entry {

namespace {

using telemetry::LogLevel;

// Changes reach a node within this time and a round trip; a tenth of the 3 s in
// which a change has to be in force.
constexpr Duration kPollInterval = std::chrono::milliseconds(250);
// While the node cannot serve yet it asks more often.
constexpr Duration kStartPollInterval = std::chrono::milliseconds(50);
// A control VM that has not answered for this long is no longer relied on: two
// polls in a row were lost.
constexpr Duration kSilence = std::chrono::milliseconds(750);
// The connection to a control VM that is not asked any more is closed after
// this time: it outlasts the election of a leader and a restart, in which nodes
// ask others for a while.
constexpr Duration kKeepConnected = std::chrono::seconds(10);

// Remembered servers are used for this long: two announcements of today's
// servers, each 1.2 s after the one before. What a server said just before all
// VMs lost power is forgotten with them, so it must not be much longer.
constexpr Duration kRememberedTime = std::chrono::milliseconds(2500);

// A node that starts takes the directories of this many control VMs: one that
// has lost its disk or was cut off does not know all servers yet.
constexpr size_t kFirstDirectories = 3;

struct ControlVm {
  FailureDomain domain;
  std::optional<SteadyTime> answered_at;
  // Empty while there is no connection to it.
  std::optional<SteadyTime> asked_at;
  // It heard from the leader of the replicated log lately.
  bool current = false;
  // Of the process that gave its directory; 0 when none has.
  uint64_t incarnation = 0;
  uint64_t directory_count = 0;
};

bool IsReliable(const ControlVm& vm, SteadyTime now) {
  return vm.current && vm.answered_at && now - *vm.answered_at < kSilence;
}

peer::PeerSocketOptions SocketOptions(const EntrySettings& settings) {
  peer::PeerSocketOptions options;
  options.cluster = settings.cluster;
  options.cluster_key = settings.cluster_key;
  options.self = {settings.node, settings.node.value, settings.peer_port};
  options.incarnation = peer::IncarnationOfThisStart();
  return options;
}

}  // namespace

struct ControlLink::Impl {
  Impl(const EntrySettings& link_settings,
       const Dialect& link_dialect,
       ControlEvents link_events)
      : settings(link_settings),
        dialect(link_dialect),
        events(std::move(link_events)),
        socket(SocketOptions(settings),
               [this](const peer::PeerFrame& it) { OnFrame(it); }) {
    AddControlVms(settings.control_vms);
    thread = std::thread([this] { Run(); });
  }

  ~Impl() {
    {
      std::lock_guard lock(mutex);
      stopping = true;
    }
    changed.notify_all();
    thread.join();
  }

  void AddControlVms(const std::vector<NodeId>& nodes) {
    std::lock_guard lock(mutex);
    for (const NodeId& it : nodes) {
      vms.emplace(it, ControlVm{});
    }
  }

  void Run() {
    std::unique_lock lock(mutex);
    while (!stopping) {
      Poll();
      const auto forgotten = ForgetRemembered(book, BootTime());
      if (!forgotten.empty()) {
        telemetry::LogEvent(LogLevel::kInfo, "remembered_servers_forgotten",
                            {{"servers", std::to_string(forgotten.size())}});
        events.on_servers(forgotten);
      }
      changed.wait_for(lock, has_directory ? kPollInterval : kStartPollInterval,
                       [this] { return stopping || poll_at_once; });
      poll_at_once = false;
    }
  }

  // Asks the control VMs of the own failure domain up to the first reliable
  // one; failing that a reliable one elsewhere. While there is none, the others
  // are asked, mostly without their directories: many nodes lose the same
  // control VM at once, and a directory from each of the others would take more
  // than the links between failure domains should carry. `mutex` is held.
  void Poll() {
    const SteadyTime now = BootTime();
    CloseUnused(now);
    std::vector<NodeId> others;
    for (auto& [node, vm] : vms) {
      if (vm.domain != settings.failure_domain) {
        others.push_back(node);
        continue;
      }
      Ask(node, vm, /*with_directory=*/true, now);
      if (IsReliable(vm, now)) {
        NoteSource(node);
        return;
      }
    }
    for (const NodeId& node : others) {
      ControlVm& vm = vms[node];
      if (IsReliable(vm, now)) {
        Ask(node, vm, /*with_directory=*/true, now);
        NoteSource(node);
        return;
      }
    }
    AskUnreliable(others, now);
    NoteSource({});
  }

  // While the node knows no servers all of `others` are asked, which shows at
  // once which of them are of the own failure domain; later one at a time.
  void AskUnreliable(const std::vector<NodeId>& others, SteadyTime now) {
    auto known = static_cast<size_t>(std::count_if(
        vms.begin(), vms.end(),
        [](const auto& it) { return it.second.incarnation != 0; }));
    const size_t n =
        has_directory ? std::min<size_t>(1, others.size()) : others.size();
    for (size_t i = 0; i < n; ++i) {
      const NodeId& node = others[probes++ % others.size()];
      ControlVm& vm = vms[node];
      const bool with_directory =
          vm.incarnation == 0 && known < kFirstDirectories;
      known += with_directory ? 1 : 0;
      Ask(node, vm, with_directory, now);
    }
  }

  void Ask(const NodeId& node,
           ControlVm& vm,
           bool with_directory,
           SteadyTime now) {
    if (!vm.asked_at) {
      socket.AddPeer({node, node.value, settings.peer_port});
    }
    vm.asked_at = now;
    proto::EntryPoll poll;
    poll.set_failure_domain(settings.failure_domain.value);
    poll.set_routes_version(routes_version);
    poll.set_entry_nodes_digest(entry_nodes_digest);
    poll.set_without_directory(!with_directory);
    if (with_directory) {
      poll.set_directory_incarnation(vm.incarnation);
      poll.set_directory_count(vm.directory_count);
      poll.set_directory_digest(directory::MakeRootDigest(book.directory).root);
    }
    socket.Send(node, peer::FrameKind::kEntryPoll, poll.SerializeAsString());
  }

  // Each connection costs heartbeats, most of them between failure domains, and
  // each control VM would have one for each entry node.
  void CloseUnused(SteadyTime now) {
    for (auto& [node, vm] : vms) {
      if (vm.asked_at && now - *vm.asked_at > kKeepConnected) {
        vm.asked_at.reset();
        socket.RemovePeer(node);
      }
    }
  }

  void NoteSource(const NodeId& node) {
    if (source == node) {
      return;
    }
    source = node;
    telemetry::LogEvent(node.empty() ? LogLevel::kWarning : LogLevel::kInfo,
                        node.empty() ? "control_lost" : "control_followed",
                        {{"control_vm", node.value},
                         {"routes_version", std::to_string(routes_version)}});
  }

  void OnFrame(const peer::PeerFrame& frame) {
    if (frame.kind != peer::FrameKind::kEntryPollReply) {
      return;
    }
    proto::EntryPollReply reply;
    try {
      reply = proto::Parse<proto::EntryPollReply>(frame.body);
      OnReply(frame, reply);
    } catch (const proto::MalformedMessageError& e) {
      telemetry::LogEvent(
          LogLevel::kError, "control_reply_refused",
          {{"control_vm", frame.sender.value}, {"error", e.what()}});
    }
  }

  void OnReply(const peer::PeerFrame& frame,
               const proto::EntryPollReply& reply) {
    std::vector<directory::ServerRecord> records;
    for (const proto::ServerRecord& it : reply.records()) {
      records.push_back(proto::FromMessage(it));
    }
    std::vector<NodeId> others;
    for (const std::string& it : reply.control_vms()) {
      others.push_back({it});
    }
    AddControlVms(others);
    if (reply.has_routes()) {
      OnRoutes(reply.routes());
    }
    std::vector<ServerChange> changes;
    std::optional<ConnectionPlan> plan = PlanOf(reply);
    {
      std::lock_guard lock(mutex);
      ControlVm& vm = vms[frame.sender];
      if (vm.domain.empty() && !has_directory) {
        poll_at_once = true;
        changed.notify_all();
      }
      vm.domain = {reply.failure_domain()};
      vm.answered_at = BootTime();
      vm.current = reply.current();
      if (!reply.without_directory()) {
        vm.incarnation = frame.incarnation;
        vm.directory_count = reply.directory_count();
        changes = MergeRecords(book, records, *vm.answered_at);
        Remember(frame.sender, reply, *vm.answered_at, changes);
        has_directory = true;
      }
      if (plan) {
        entry_nodes_digest = reply.entry_nodes_digest();
      }
      if (plan && *plan == last_plan) {
        plan.reset();
      } else if (plan) {
        last_plan = *plan;
      }
    }
    if (plan) {
      events.on_plan(std::move(*plan));
    }
    if (!changes.empty()) {
      events.on_servers(std::move(changes));
    }
  }

  // `mutex` is held.
  void Remember(const NodeId& control_vm,
                const proto::EntryPollReply& reply,
                SteadyTime now,
                std::vector<ServerChange>& changes) {
    std::vector<directory::ServerRecord> records;
    for (const proto::ServerRecord& it : reply.remembered()) {
      records.push_back(proto::FromMessage(it));
    }
    const auto remembered =
        RememberServers(book, records, now + kRememberedTime);
    if (!remembered.empty()) {
      telemetry::LogEvent(LogLevel::kInfo, "servers_remembered",
                          {{"control_vm", control_vm.value},
                           {"servers", std::to_string(remembered.size())}});
      changes.insert(changes.end(), remembered.begin(), remembered.end());
    }
  }

  // Nothing when the control VMs do not know this node yet.
  std::optional<ConnectionPlan> PlanOf(
      const proto::EntryPollReply& reply) const {
    ConnectionPlan plan;
    plan.place.domain = settings.failure_domain;
    bool found = false;
    for (const proto::EntryNodes& it : reply.entry_nodes()) {
      plan.reservation[{it.failure_domain()}] =
          static_cast<uint32_t>(it.nodes_size());
      const auto self =
          std::find(it.nodes().begin(), it.nodes().end(), settings.node.value);
      if (it.failure_domain() == settings.failure_domain.value &&
          self != it.nodes().end()) {
        plan.place.position = static_cast<uint32_t>(self - it.nodes().begin());
        found = true;
      }
    }
    return found ? std::optional(std::move(plan)) : std::nullopt;
  }

  void OnRoutes(const proto::RouteDocument& document) {
    {
      std::lock_guard lock(mutex);
      if (document.version() <= routes_version) {
        return;
      }
    }
    try {
      auto table = std::make_shared<const routes::RouteTable>(
          routes::BuildRouteTable(dialect.read_routes(
              routes::DecompressText(document.compressed_text()))));
      {
        std::lock_guard lock(mutex);
        routes_version = document.version();
      }
      telemetry::LogEvent(
          LogLevel::kInfo, "routes_in_force",
          {{"version", std::to_string(document.version())},
           {"routes", std::to_string(table->set.routes.size())}});
      events.on_routes(std::move(table));
    } catch (const routes::RouteError& e) {
      // The control VMs check before they accept, so this is another release
      // of the program with stricter checks. The routes in force stay.
      telemetry::LogEvent(LogLevel::kError, "routes_refused",
                          {{"version", std::to_string(document.version())},
                           {"error", e.what()}});
    }
  }

  const EntrySettings settings;
  const Dialect& dialect;
  const ControlEvents events;

  mutable std::mutex mutex;
  // Guarded by `mutex`.
  std::map<NodeId, ControlVm> vms;
  NodeId source;
  uint64_t routes_version = 0;
  bool has_directory = false;
  bool stopping = false;
  // A control VM of the own failure domain was found while the node starts.
  bool poll_at_once = false;
  ServerBook book;
  ConnectionPlan last_plan;
  // Of the list that `last_plan` was made from.
  uint64_t entry_nodes_digest = 0;
  // Control VMs of other failure domains that were asked in turn.
  size_t probes = 0;
  std::condition_variable changed;

  peer::PeerSocket socket;
  std::thread thread;
};

ControlLink::ControlLink(const EntrySettings& settings,
                         const Dialect& dialect,
                         ControlEvents events)
    : impl_(std::make_unique<Impl>(settings, dialect, std::move(events))) {}

ControlLink::~ControlLink() = default;

void ControlLink::AddControlVms(const std::vector<NodeId>& nodes) {
  impl_->AddControlVms(nodes);
}

bool ControlLink::IsReady() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->routes_version > 0 && impl_->has_directory;
}

ControlLinkStatus ControlLink::Status() const {
  ControlLinkStatus status;
  status.frames = impl_->socket.Stats();
  std::lock_guard lock(impl_->mutex);
  status.routes_version = impl_->routes_version;
  for (const auto& [node, vm] : impl_->vms) {
    status.answered_at = std::max(status.answered_at, vm.answered_at);
  }
  return status;
}

}  // namespace gooseberryrock::entry
