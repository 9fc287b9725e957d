// Measures the costs of the control state.

#include "control_costs.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/claims/claims.h"
#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/merge_record.h"
#include "gooseberryrock/node/service_views.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/proto/convert_catalog.h"
#include "operator.pb.h"

namespace gooseberryrock::capacity {

namespace {

// Shards of each service; equals the fan-out of the capacity target.
constexpr size_t kShards = 410;

catalog::ServiceDefinition MakeService(size_t number) {
  catalog::ServiceDefinition service;
  service.name.value = "service-" + std::to_string(number);
  catalog::ShardLayout layout;
  layout.version = 1;
  for (size_t i = 0; i < kShards; ++i) {
    layout.shards.push_back({"shard-" + std::to_string(i)});
  }
  service.layouts.push_back(std::move(layout));
  return service;
}

catalog::Catalog MakeCatalog(size_t services) {
  catalog::Catalog catalog;
  catalog.version = 1;
  for (size_t i = 0; i < services; ++i) {
    auto service = MakeService(i);
    catalog.services[service.name] = std::move(service);
  }
  return catalog;
}

directory::ServerRecord MakeRecord(size_t number) {
  directory::ServerRecord record;
  record.id.value = "server-" + std::to_string(number);
  record.incarnation = 1;
  record.state = directory::ServerState::kReady;
  record.sequence = 1;
  record.service.value = "service-0";
  record.failure_domain.value = "domain-" + std::to_string(number % 5);
  record.host = "10.0.0.1";
  record.port = 8080;
  record.replicas = {{1, {"shard-" + std::to_string(number % kShards)}, {1}}};
  record.slots = 3;
  record.connection_limit = 30;
  record.owner.value = "node-" + std::to_string(number % 2300);
  record.owner_epoch = 1;
  return record;
}

directory::Directory MakeDirectory(size_t servers) {
  directory::Directory directory;
  for (size_t i = 0; i < servers; ++i) {
    directory::MergeRecord(directory, MakeRecord(i), {"peer"}, SteadyTime());
  }
  return directory;
}

void MeasureDirectory(std::vector<Measurement>& results) {
  Measurement time{"directory_merge", "servers", "us", {}};
  Measurement memory{"directory_memory", "servers", "bytes", {}};
  Measurement views{"routing_rebuild", "servers", "us", {}};
  const catalog::Catalog catalog = MakeCatalog(1);
  for (size_t servers : {1000, 5000, 10000, 15000}) {
    const auto x = static_cast<double>(servers);
    const double before = HeapBytes();
    directory::Directory directory;
    time.points.push_back(
        {x, MeasureMicroseconds([&] { directory = MakeDirectory(servers); })});
    memory.points.push_back({x, HeapBytes() - before});
    node::ServiceViews service_views;
    views.points.push_back({x, MeasureMicroseconds([&] {
                              service_views.Rebuild(catalog, directory);
                            })});
  }
  results.push_back(std::move(time));
  results.push_back(std::move(memory));
  results.push_back(std::move(views));
}

void MeasureCatalog(std::vector<Measurement>& results) {
  Measurement bytes{"catalog_message", "services", "bytes", {}};
  Measurement time{"catalog_decode", "services", "us", {}};
  for (size_t services : {10, 50, 100, 200}) {
    const auto x = static_cast<double>(services);
    const std::string message =
        proto::ToMessage(MakeCatalog(services)).SerializeAsString();
    bytes.points.push_back({x, static_cast<double>(message.size())});
    time.points.push_back({x, MeasureMicroseconds([&] {
                             proto::Catalog parsed;
                             parsed.ParseFromString(message);
                             proto::FromMessage(parsed);
                           })});
  }
  results.push_back(std::move(bytes));
  results.push_back(std::move(time));
}

void MeasureClaims(std::vector<Measurement>& results) {
  constexpr uint64_t kStartMs = 1'800'000'000'000;
  Measurement time{"claim_and_outcome", "claims", "us", {}};
  Measurement memory{"claim_memory", "claims", "bytes", {}};
  for (uint64_t claims : {20000, 50000, 100000, 200000}) {
    const auto x = static_cast<double>(claims);
    const double before = HeapBytes();
    claims::ClaimsState state;
    const auto run = [&] {
      for (uint64_t i = 0; i < claims; ++i) {
        const WallTime now{std::chrono::milliseconds(kStartMs + i)};
        const RequestId id{std::to_string(kStartMs + i) + "-caller"};
        const claims::ClaimHolder holder{{"node-1"}, 1, i};
        claims::ApplyClaim(state, {id, i, holder, now});
        claims::ApplyOutcome(state, {id, holder, std::string(100, 'x'), now});
      }
    };
    time.points.push_back({x, MeasureMicroseconds(run)});
    memory.points.push_back({x, HeapBytes() - before});
  }
  results.push_back(std::move(time));
  results.push_back(std::move(memory));
}

void MeasureFrames(std::vector<Measurement>& results) {
  constexpr int kFrames = 2000;
  Measurement time{"frame_seal_and_open", "bytes", "us", {}};
  const peer::FrameKey key = peer::DeriveFrameKey("capacity");
  for (size_t size : {100, 1000, 5000, 20000}) {
    peer::PeerFrame frame;
    frame.cluster = "capacity";
    frame.sender.value = "a";
    frame.receiver.value = "b";
    frame.incarnation = 1;
    frame.body.assign(size, 'x');
    const double us = MeasureMicroseconds([&] {
      for (int i = 0; i < kFrames; ++i) {
        peer::OpenFrame(peer::SealFrame(frame, key), key,
                        {"capacity", {"b"}, peer::kProtocolVersion});
      }
    });
    time.points.push_back({static_cast<double>(size), us / kFrames});
  }
  results.push_back(std::move(time));
}

}  // namespace

std::vector<Measurement> MeasureControlCosts() {
  std::vector<Measurement> results;
  MeasureDirectory(results);
  MeasureCatalog(results);
  MeasureClaims(results);
  MeasureFrames(results);
  return results;
}

}  // namespace gooseberryrock::capacity
