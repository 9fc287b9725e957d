// Measures the costs of the query path.

#include "query_costs.h"

#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <utility>

#include "backend.pb.h"
#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/merge_record.h"
#include "gooseberryrock/node/crash_guard.h"
#include "gooseberryrock/node/query_engine.h"
#include "gooseberryrock/node/service_views.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/query/answer.h"
#include "gooseberryrock/query/query_request.h"
#include "gooseberryrock/telemetry/metrics.h"

namespace gooseberryrock::capacity {

namespace {

constexpr int kWarmUpQueries = 50;
constexpr int kQueries = 400;
constexpr Duration kDeadline = std::chrono::seconds(2);

proto::SubqueryReply MakeReply(size_t rows) {
  proto::SubqueryReply reply;
  reply.set_attempt_id(28'000'000'000'000'000);
  reply.set_shard("shard-17");
  reply.set_layout_version(1);
  reply.set_index_version(1);
  reply.set_status("ok");
  for (size_t i = 0; i < rows; ++i) {
    reply.add_rows("salon 4711, chair 12, tuesday 10:30, stylist 3");
  }
  reply.set_all_rows(true);
  reply.set_end(true);
  return reply;
}

Measurement MeasureCodec(const std::string& name,
                         const std::function<void(size_t rows)>& once) {
  constexpr int kRepeats = 2000;
  Measurement result{name, "rows", "us", {}};
  for (size_t rows : {1, 5, 10, 20}) {
    const double us = MeasureMicroseconds([&] {
      for (int i = 0; i < kRepeats; ++i) {
        once(rows);
      }
    });
    result.points.push_back({static_cast<double>(rows), us / kRepeats});
  }
  return result;
}

catalog::Catalog MakeCatalog(size_t fan_out) {
  catalog::ServiceDefinition service;
  service.name.value = "capacity";
  service.layouts = {{1, {}}};
  for (size_t i = 0; i < fan_out; ++i) {
    service.layouts[0].shards.push_back({"s" + std::to_string(i)});
  }
  catalog::Catalog catalog;
  catalog.version = 1;
  catalog.services[service.name] = std::move(service);
  return catalog;
}

directory::Directory MakeDirectory(const std::vector<uint16_t>& ports) {
  directory::Directory directory;
  for (size_t i = 0; i < ports.size(); ++i) {
    directory::ServerRecord record;
    record.id.value = "server-" + std::to_string(i);
    record.incarnation = 1;
    record.state = directory::ServerState::kReady;
    record.service.value = "capacity";
    record.failure_domain.value = "a";
    record.host = "127.0.0.1";
    record.port = ports[i];
    record.replicas = {{1, {"s" + std::to_string(i)}, {1}}};
    record.slots = 3;
    record.connection_limit = 30;
    record.owner.value = "capacity";
    record.owner_epoch = 1;
    directory::MergeRecord(directory, record, {"peer"}, SteadyTime());
  }
  return directory;
}

query::QueryRequest MakeRequest(int number) {
  query::QueryRequest request;
  request.id.value = std::to_string(number);
  request.service.value = "capacity";
  request.rank = Rank::kUrgent;
  request.deadline = std::chrono::steady_clock::now() + kDeadline;
  request.text = "free chair";
  return request;
}

// Runs `n` queries one after the other and returns the number of complete
// answers.
int RunQueries(node::QueryEngine& engine, int n) {
  int complete = 0;
  for (int i = 0; i < n; ++i) {
    const auto answer = engine.Execute(MakeRequest(i));
    complete += answer.status == query::AnswerStatus::kComplete ? 1 : 0;
  }
  return complete;
}

}  // namespace

std::vector<Measurement> MeasureCodecs() {
  std::vector<Measurement> results;
  results.push_back(MeasureCodec("reply_json", [](size_t rows) {
    static const std::string text[] = {
        proto::ToJson(MakeReply(1)), proto::ToJson(MakeReply(5)),
        proto::ToJson(MakeReply(10)), proto::ToJson(MakeReply(20))};
    proto::SubqueryReply reply;
    proto::FromJson(text[rows == 1    ? 0
                         : rows == 5  ? 1
                         : rows == 10 ? 2
                                      : 3],
                    reply, /*ignore_unknown=*/true);
  }));
  results.push_back(MeasureCodec("reply_binary", [](size_t rows) {
    static const std::string bytes[] = {
        MakeReply(1).SerializeAsString(), MakeReply(5).SerializeAsString(),
        MakeReply(10).SerializeAsString(), MakeReply(20).SerializeAsString()};
    proto::SubqueryReply reply;
    reply.ParseFromString(bytes[rows == 1    ? 0
                                : rows == 5  ? 1
                                : rows == 10 ? 2
                                             : 3]);
  }));
  return results;
}

Measurement MeasureFanOut(const std::vector<uint16_t>& ports) {
  Measurement result{"query_fan_out", "subqueries", "us", {}};
  const directory::Directory directory = MakeDirectory(ports);
  for (size_t fan_out = 1; fan_out <= ports.size(); fan_out *= 2) {
    node::ServiceViews views;
    telemetry::Metrics metrics;
    node::CrashGuard guard({"capacity"}, [](const auto& /*suspicion*/) {});
    node::QueryEngineOptions options;
    options.failure_domain.value = "a";
    node::QueryEngine engine(options, views, guard, metrics);
    for (const auto& [id, entry] : directory.entries) {
      engine.OnServerChanged(entry.record, 4);
    }
    views.Rebuild(MakeCatalog(fan_out), directory);
    RunQueries(engine, kWarmUpQueries);
    int complete = 0;
    const double us =
        MeasureMicroseconds([&] { complete = RunQueries(engine, kQueries); });
    if (complete != kQueries) {
      std::cerr << "warning: " << kQueries - complete << " of " << kQueries
                << " queries with fan-out " << fan_out
                << " were not complete\n";
    }
    result.points.push_back({static_cast<double>(fan_out), us / kQueries});
  }
  return result;
}

}  // namespace gooseberryrock::capacity
