// HTTP API for operators.

#ifndef GOOSEBERRYROCK_NODE_OPERATOR_API_H_
#define GOOSEBERRYROCK_NODE_OPERATOR_API_H_

#include <functional>
#include <string>
#include <string_view>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/http/http_reply.h"
#include "operator.pb.h"
#include "peer.pb.h"

namespace gooseberryrock::http {
struct HttpRequest;
}  // namespace gooseberryrock::http

namespace gooseberryrock::telemetry {
struct Metrics;
}  // namespace gooseberryrock::telemetry

namespace gooseberryrock::control {
class ControlClient;
class ReplicatedLog;
}  // namespace gooseberryrock::control

namespace gooseberryrock::node {

class CatalogStore;
class ClusterView;
class DirectoryReplica;

inline constexpr std::string_view kOperatorPathPrefix = "/v1/operator/";

struct OperatorApiDependencies {
  NodeId self;
  FailureDomain failure_domain;
  std::string token;
  control::ControlClient* control = nullptr;
  CatalogStore* catalog = nullptr;
  DirectoryReplica* directory = nullptr;
  ClusterView* cluster = nullptr;
  // Null unless the node is a control VM.
  control::ReplicatedLog* log = nullptr;
  telemetry::Metrics* metrics = nullptr;
};

class OperatorApi {
 public:
  explicit OperatorApi(OperatorApiDependencies deps);

  http::HttpReply Handle(const http::HttpRequest& request);

 private:
  http::HttpReply HandleCall(const std::string& call, const std::string& body);
  proto::CommandReply SubmitCommand(const proto::CommandRequest& request);
  proto::GetCatalogReply GetCatalog(const proto::GetCatalogRequest& request);
  proto::WaitInForceReply WaitInForce(const proto::WaitInForceRequest& request);
  proto::GetStatusReply GetStatus(const proto::GetStatusRequest& request);
  proto::ChangeMembershipReply ChangeMembership(
      const proto::ChangeMembershipRequest& request);
  // The reason why a command must not be proposed now; empty if it may be.
  std::string RefusalReason(const proto::CommandRequest& request) const;
  void AddNodes(proto::GetStatusReply& reply) const;
  void AddBackendServers(proto::GetStatusReply& reply) const;
  void AddControl(proto::GetStatusReply& reply) const;

  const OperatorApiDependencies deps_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_OPERATOR_API_H_
