// Test server in place of a node that returns fixed replies to gbrctl.

#include "standin_node.h"

#include <chrono>
#include <map>
#include <thread>
#include <utility>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_error.h"

namespace gooseberryrock::ctl {

namespace {

// Delay of a reply that must time out: longer than the timeout of 1 s in the
// transcripts, which is long enough for prompt replies on a busy machine.
constexpr Duration kLateReplyDelay = std::chrono::seconds(2);

constexpr char kCatalog[] = R"({"current": true, "catalog": {"version": 5,
  "reserved_nodes": {"a": 2, "b": 2, "c": 2}, "services": [
  {"name": "appointment-book", "row_limit": 1000,
   "layouts": [{"version": 1, "shards": ["book-01", "book-02"]},
               {"version": 2, "shards": ["book-01", "book-02", "book-03"]}]},
  {"name": "till-reports", "row_limit": 10000,
   "layouts": [{"version": 1, "shards": ["tills-01", "tills-02", "tills-03"]}],
   "urgent": {"target_latency_ms": 1000, "floor_share": 0.2, "hedging": true,
              "prefer_coverage": true},
   "rules": [{"selector": {"data": "test"}, "allow": false},
             {"allow": true}]}]}})";

constexpr char kStatus[] = R"({"node": "node-a1", "catalog_version": 5,
  "control": {"leader": "node-b1", "term": 3, "commit_index": 42,
              "voters": ["node-a1", "node-b1", "node-c1"]},
  "nodes": [
  {"id": "node-a1", "failure_domain": "a", "catalog_version": 5,
   "control": true},
  {"id": "node-c2", "failure_domain": "c", "catalog_version": 4,
   "age_ms": 7300}],
  "backend_servers": [
  {"id": "tills-1", "service": "till-reports", "failure_domain": "a",
   "address": "10.20.1.41:9000", "state": "ready", "incarnation": 3,
   "owner": "node-a1"},
  {"id": "tills-2", "service": "till-reports", "failure_domain": "b",
   "address": "10.20.2.41:9000", "state": "draining", "incarnation": 1,
   "owner": "node-b1"}]})";

http::HttpReply JsonReply(int status, const std::string& body) {
  return {status, "application/json", body};
}

http::HttpReply MakeChangeReply(const std::string& scenario, size_t n) {
  static const std::map<std::string, std::string> replies = {
      {"conflict", R"({"status": "CONFLICT", "version": 7})"},
      {"invalid", R"({"status": "INVALID", "version": 5, "problems": [
         "the row limit must be 1 to 10000",
         "layout 1 must have 1 to 10000 shards, not 0"]})"},
      {"id_reused", R"({"status": "ID_REUSED", "version": 5})"},
      {"not_run", R"({"status": "NOT_RUN"})"},
      {"outcome_unknown", R"({"status": "OUTCOME_UNKNOWN"})"},
      {"membership_unknown", R"({"status": "OUTCOME_UNKNOWN"})"},
      {"truncated", R"({"status": "ACCE)"}};
  if (scenario == "server_error") {
    return JsonReply(500, R"({"error": "internal", "message": "failed"})");
  }
  if (scenario == "lost_then_refused" && n > 1) {
    return JsonReply(401,
                     R"({"error": "unauthorized", "message": "wrong token"})");
  }
  if (scenario == "timeout" || scenario == "lost_then_refused" ||
      (scenario == "lost_reply" && n == 1)) {
    std::this_thread::sleep_for(kLateReplyDelay);
  }
  const auto it = replies.find(scenario);
  return JsonReply(200, it == replies.end()
                            ? R"({"status": "ACCEPTED", "version": 6})"
                            : it->second);
}

}  // namespace

StandinNode::StandinNode(std::string scenario)
    : scenario_(std::move(scenario)) {
  // Uses the first free port, because tests of several worktrees may run at
  // once.
  constexpr uint16_t kFirstPort = 17960;
  constexpr uint16_t kLastPort = 17999;
  for (port_ = kFirstPort; server_ == nullptr; ++port_) {
    try {
      server_ = std::make_unique<http::HttpServer>(
          http::HttpServerOptions{"127.0.0.1", port_, 4},
          [this](const http::HttpRequest& it) { return Handle(it); });
      break;
    } catch (const http::HttpError&) {
      if (port_ == kLastPort) {
        throw;
      }
    }
  }
}

std::vector<std::string> StandinNode::ReceivedChanges() {
  std::lock_guard lock(mutex_);
  return changes_;
}

http::HttpReply StandinNode::Handle(const http::HttpRequest& request) {
  if (request.path.starts_with("/v1/query/")) {
    return HandleQuery(request);
  }
  const auto it = request.headers.find("authorization");
  if (it == request.headers.end() ||
      it->second != "Bearer operator-token-of-the-test") {
    return JsonReply(401, R"({"error": "unauthorized",
                         "message": "the operator token is wrong"})");
  }
  if (request.path == "/v1/operator/GetCatalog") {
    return JsonReply(200, kCatalog);
  }
  if (request.path == "/v1/operator/GetStatus") {
    return JsonReply(200, kStatus);
  }
  if (request.path == "/v1/operator/WaitInForce") {
    return JsonReply(200, scenario_ == "not_in_force"
                              ? R"({"lagging_nodes": ["node-b2", "node-c1"]})"
                              : R"({"in_force": true})");
  }
  if (request.path == "/v1/operator/SubmitCommand" ||
      request.path == "/v1/operator/ChangeMembership") {
    return HandleChange(request);
  }
  return JsonReply(404,
                   R"({"error": "unknown_call", "message": "no such call"})");
}

http::HttpReply StandinNode::HandleChange(const http::HttpRequest& request) {
  size_t n = 0;
  {
    std::lock_guard lock(mutex_);
    changes_.push_back(request.body);
    n = changes_.size();
  }
  return MakeChangeReply(scenario_, n);
}

http::HttpReply StandinNode::HandleQuery(const http::HttpRequest& request) {
  if (request.path.ends_with("/partial")) {
    return JsonReply(200, R"({"status": "partial", "reason": "deadline_passed",
      "coverage": {"shards_total": 10, "shards_answered": 9,
                   "missing_shards": ["chairs-07"]},
      "rows": ["chair 3, 14:30"], "end": true})");
  }
  if (request.path.ends_with("/overloaded")) {
    return JsonReply(503, R"({"status": "not_run", "reason": "overloaded",
      "retry_after_ms": 200, "end": true})");
  }
  if (request.path.ends_with("/unknown")) {
    return JsonReply(504, R"({"status": "outcome_unknown",
      "reason": "connection_lost", "end": true})");
  }
  if (request.path.ends_with("/failed")) {
    return JsonReply(502,
                     R"({"status": "failed", "reason": "backend_server_error",
      "coverage": {"shards_total": 1}, "end": true})");
  }
  if (request.path.ends_with("/truncated")) {
    return JsonReply(200, R"({"status": "complete", "rows": []})");
  }
  if (request.headers.at("gbr-idempotent") == "false" &&
      !request.headers.contains("gbr-routing-key")) {
    return JsonReply(400, R"({"error": "missing_routing_key", "message":
      "a request that is not idempotent needs gbr-routing-key"})");
  }
  return JsonReply(200,
                   R"({"status": "complete", "coverage": {"shards_total": 10,
    "shards_answered": 10}, "rows": ["chair 3, 14:30", "chair 5, 16:00"],
    "end": true})");
}

}  // namespace gooseberryrock::ctl
