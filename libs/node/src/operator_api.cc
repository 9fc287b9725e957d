// The HTTP interface of operators.

#include "gooseberryrock/node/operator_api.h"

#include <utility>

#include "gooseberryrock/catalog/apply_command.h"
#include "gooseberryrock/http/http_request.h"
#include "gooseberryrock/node/caller_api.h"
#include "gooseberryrock/node/directory_keeper.h"
#include "gooseberryrock/proto/convert_catalog.h"
#include "gooseberryrock/proto/json_codec.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "operator.pb.h"

namespace gooseberryrock::node {

OperatorApi::OperatorApi(std::string token, DirectoryKeeper& keeper)
    : token_(std::move(token)), keeper_(keeper) {}

http::HttpReply OperatorApi::Handle(const http::HttpRequest& request) {
  auto it = request.headers.find("authorization");
  if (it == request.headers.end() || it->second != "Bearer " + token_) {
    return ErrorReply(401, "unauthorized", "the operator token is wrong");
  }
  const std::string call = request.path.substr(kOperatorPathPrefix.size());
  try {
    if (call == "SubmitCommand") {
      return SubmitCommand(request.body);
    }
    if (call == "GetCatalog") {
      return GetCatalog();
    }
  } catch (const proto::MalformedMessageError& e) {
    return ErrorReply(400, "malformed_message", e.what());
  }
  return ErrorReply(404, "unknown_call", "there is no operator call " + call);
}

http::HttpReply OperatorApi::SubmitCommand(const std::string& body) {
  proto::CommandRequest message;
  proto::FromJson(body, message);
  const catalog::Command command = proto::FromMessage(message);
  std::lock_guard lock(mutex_);
  const auto outcome = catalog::ApplyCommand(catalog_, command);
  keeper_.PutCatalogInForce(catalog_);
  return {200, "application/json", proto::ToJson(proto::ToMessage(outcome))};
}

http::HttpReply OperatorApi::GetCatalog() {
  proto::GetCatalogReply reply;
  {
    std::lock_guard lock(mutex_);
    *reply.mutable_catalog() = proto::ToMessage(catalog_);
  }
  reply.set_current(true);
  return {200, "application/json", proto::ToJson(reply)};
}

}  // namespace gooseberryrock::node
