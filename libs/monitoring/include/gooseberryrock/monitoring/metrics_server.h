// Serves the metrics of a process on a separate address.

#ifndef GOOSEBERRYROCK_MONITORING_METRICS_SERVER_H_
#define GOOSEBERRYROCK_MONITORING_METRICS_SERVER_H_

#include <functional>
#include <memory>

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::transport {
class IoThread;
struct Endpoint;
}  // namespace gooseberryrock::transport

namespace gooseberryrock::monitoring {

class MetricsServer {
 public:
  // Answers `GET /metrics` on `thread`, which must outlive the server and be
  // stopped before the server is destroyed. `update` is called before each page
  // is rendered, to set the gauges. Throws TransportError if the address cannot
  // be bound.
  MetricsServer(transport::IoThread& thread,
                const transport::Endpoint& endpoint,
                const telemetry::Metrics& metrics,
                std::function<void()> update);
  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;
  ~MetricsServer();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gooseberryrock::monitoring

#endif  // GOOSEBERRYROCK_MONITORING_METRICS_SERVER_H_
