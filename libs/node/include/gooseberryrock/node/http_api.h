// HTTP API of a node for callers, backend servers, operators and health checks.

#ifndef GOOSEBERRYROCK_NODE_HTTP_API_H_
#define GOOSEBERRYROCK_NODE_HTTP_API_H_

#include <cstddef>
#include <functional>

#include "gooseberryrock/http/http_reply.h"

namespace gooseberryrock::http {
struct HttpRequest;
}  // namespace gooseberryrock::http

namespace gooseberryrock::query {
struct Answer;
struct QueryRequest;
}  // namespace gooseberryrock::query

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::node {

class AtMostOnceExecutor;
class DirectoryReplica;
class DrainGate;
class OperatorApi;
class QueryEngine;

struct HttpApiDependencies {
  // Limit on running and waiting queries; further queries are refused.
  size_t max_in_flight = 0;
  QueryEngine* engine = nullptr;
  AtMostOnceExecutor* at_most_once = nullptr;
  DirectoryReplica* directory = nullptr;
  OperatorApi* operator_api = nullptr;
  DrainGate* gate = nullptr;
  telemetry::Metrics* metrics = nullptr;
  // Whether the node has a catalog that allows it to serve.
  std::function<bool()> has_catalog;
  // Updates the gauges before the metrics are rendered.
  std::function<void()> update_gauges;
};

class HttpApi {
 public:
  explicit HttpApi(HttpApiDependencies deps);

  http::HttpReply Handle(const http::HttpRequest& request);

 private:
  http::HttpReply HandleQuery(const http::HttpRequest& request);
  http::HttpReply HandleAnnouncement(const http::HttpRequest& request);
  http::HttpReply HandleReady() const;
  query::Answer Answer(const query::QueryRequest& request);

  const HttpApiDependencies deps_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_HTTP_API_H_
