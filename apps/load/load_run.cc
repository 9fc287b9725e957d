// Sends the requests of a load run and collects the results.

#include "load_run.h"

#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "balancer.h"
#include "caller.pb.h"
#include "check_answer.h"
#include "gooseberryrock/http/http_call.h"
#include "gooseberryrock/http/http_error.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "load_options.h"
#include "schedule.h"

namespace gooseberryrock::load {

namespace {

// How long to wait for a reply after the deadline of the request.
constexpr Duration kReplyGrace = std::chrono::seconds(2);

http::HttpCall MakeCall(const LoadOptions& options,
                        const Arrival& arrival,
                        const NodeAddress& node) {
  const Duration deadline = options.ranks[RankIndex(arrival.rank)].deadline;
  http::HttpCall call;
  call.host = node.host;
  call.port = node.port;
  call.path = "/v1/query/" + options.service;
  call.headers = {
      {"Gbr-Request-Id", arrival.request_id},
      {"Gbr-Deadline-Ms",
       std::to_string(
           std::chrono::duration_cast<std::chrono::milliseconds>(deadline)
               .count())},
      {"Gbr-Rank", std::string(RankName(arrival.rank))},
      {"Gbr-Idempotent", arrival.idempotent ? "true" : "false"},
      {"Gbr-Tenant", arrival.tenant}};
  if (!arrival.routing_key.empty()) {
    call.headers["Gbr-Routing-Key"] = arrival.routing_key;
  }
  call.body = nlohmann::json({{"text", options.text}}).dump();
  call.timeout = deadline + kReplyGrace;
  return call;
}

void ReadReply(const LoadOptions& options,
               const Arrival& arrival,
               const http::HttpReply& reply,
               Sample& sample) {
  proto::QueryAnswer answer;
  try {
    proto::FromJson(reply.body, answer);
  } catch (const proto::MalformedMessageError&) {
    sample.status = "http_" + std::to_string(reply.status);
    return;
  }
  sample.status = answer.status();
  sample.problems = FindProblems(answer, arrival.request_id, options.text);
  if (answer.coverage().shards_total() > 0) {
    sample.coverage = static_cast<double>(answer.coverage().shards_answered()) /
                      answer.coverage().shards_total();
  }
}

Sample SendRequest(const LoadOptions& options,
                   const Arrival& arrival,
                   SteadyTime start,
                   Balancer& balancer) {
  Sample sample;
  sample.offset = arrival.offset;
  sample.rank = arrival.rank;
  const std::optional<NodeAddress> node = balancer.Pick();
  if (node) {
    try {
      ReadReply(options, arrival,
                http::Execute(MakeCall(options, arrival, *node)), sample);
    } catch (const http::HttpError&) {
      sample.status = "lost";
    }
  } else {
    sample.status = "no_node";
  }
  sample.latency = std::chrono::steady_clock::now() - (start + arrival.offset);
  sample.on_time =
      (sample.status == "complete" || sample.status == "partial") &&
      sample.latency <= options.ranks[RankIndex(arrival.rank)].deadline;
  return sample;
}

}  // namespace

std::vector<Sample> RunLoad(const LoadOptions& options) {
  Balancer balancer(options.nodes);
  const auto arrivals = PlanArrivals(options, std::chrono::system_clock::now());
  std::vector<Sample> samples(arrivals.size());
  std::atomic<size_t> next = 0;
  const SteadyTime start = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < options.threads; ++i) {
    threads.emplace_back([&] {
      for (size_t n = next++; n < arrivals.size(); n = next++) {
        std::this_thread::sleep_until(start + arrivals[n].offset);
        samples[n] = SendRequest(options, arrivals[n], start, balancer);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return samples;
}

}  // namespace gooseberryrock::load
