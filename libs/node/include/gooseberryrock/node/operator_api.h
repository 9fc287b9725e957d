// The HTTP interface of operators.

#ifndef GOOSEBERRYROCK_NODE_OPERATOR_API_H_
#define GOOSEBERRYROCK_NODE_OPERATOR_API_H_

#include <mutex>
#include <string>
#include <string_view>

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/http/http_reply.h"

namespace gooseberryrock::http {
struct HttpRequest;
}  // namespace gooseberryrock::http

namespace gooseberryrock::node {

class DirectoryKeeper;

inline constexpr std::string_view kOperatorPathPrefix = "/v1/operator/";

class OperatorApi {
 public:
  OperatorApi(std::string token, DirectoryKeeper& keeper);

  http::HttpReply Handle(const http::HttpRequest& request);

 private:
  http::HttpReply SubmitCommand(const std::string& body);
  http::HttpReply GetCatalog();

  const std::string token_;
  DirectoryKeeper& keeper_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  catalog::Catalog catalog_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_OPERATOR_API_H_
