// The HTTP interface of operators.

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

class CatalogKeeper;
class ClusterView;
class DirectoryKeeper;

inline constexpr std::string_view kOperatorPathPrefix = "/v1/operator/";

struct OperatorApiParts {
  NodeId self;
  FailureDomain failure_domain;
  std::string token;
  control::ControlClient* control = nullptr;
  CatalogKeeper* catalog = nullptr;
  DirectoryKeeper* directory = nullptr;
  ClusterView* cluster = nullptr;
  // Null on a node that is no control VM.
  control::ReplicatedLog* log = nullptr;
  telemetry::Metrics* metrics = nullptr;
};

class OperatorApi {
 public:
  explicit OperatorApi(OperatorApiParts parts);

  http::HttpReply Handle(const http::HttpRequest& request);

 private:
  http::HttpReply HandleCall(const std::string& call, const std::string& body);
  proto::CommandReply SubmitCommand(const proto::CommandRequest& request);
  proto::GetCatalogReply GetCatalog(const proto::GetCatalogRequest& request);
  proto::WaitInForceReply WaitInForce(const proto::WaitInForceRequest& request);
  proto::GetStatusReply GetStatus(const proto::GetStatusRequest& request);
  proto::ChangeMembershipReply ChangeMembership(
      const proto::ChangeMembershipRequest& request);
  // Why a command must not be proposed now; empty when it may.
  std::string RefusalOf(const proto::CommandRequest& request) const;
  void AddNodes(proto::GetStatusReply& reply) const;
  void AddBackendServers(proto::GetStatusReply& reply) const;
  void AddControl(proto::GetStatusReply& reply) const;

  const OperatorApiParts parts_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_OPERATOR_API_H_
