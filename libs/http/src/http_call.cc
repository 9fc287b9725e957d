// One blocking HTTP exchange on a connection of its own.

#include "gooseberryrock/http/http_call.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include "gooseberryrock/http/http_error.h"

namespace gooseberryrock::http {

HttpReply Execute(const HttpCall& call) {
  cxxtools::http::Request request(call.path);
  request.method(call.method);
  for (const auto& [key, value] : call.headers) {
    request.setHeader(key.c_str(), value.c_str());
  }
  request.setHeader("Connection", "close");
  request.body() << call.body;
  try {
    cxxtools::http::Client client(call.host, call.port);
    client.execute(
        request,
        cxxtools::Milliseconds(
            std::chrono::duration<double, std::milli>(call.timeout).count()));
    client.readBody();
    HttpReply reply;
    reply.status = static_cast<int>(client.header().httpReturnCode());
    if (const char* type = client.header().getHeader("Content-Type")) {
      reply.content_type = type;
    }
    reply.body = client.body();
    return reply;
  } catch (const std::exception& e) {
    throw HttpError("request to " + call.host + ":" +
                    std::to_string(call.port) + call.path +
                    " failed: " + e.what());
  }
}

}  // namespace gooseberryrock::http
