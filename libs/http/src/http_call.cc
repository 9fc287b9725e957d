// A blocking HTTP request on its own connection.

#include "gooseberryrock/http/http_call.h"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <istream>

#include "gooseberryrock/http/http_error.h"

namespace gooseberryrock::http {

namespace {

// Runs one request through the asynchronous API of the client, because its
// blocking API accepts a truncated chunked reply as complete.
class Exchange : public cxxtools::Connectable {
 public:
  explicit Exchange(const HttpCall& call)
      : request_(call.path), client_(selector_, call.host, call.port) {
    cxxtools::connect(client_.bodyAvailable, *this, &Exchange::OnBodyAvailable);
    cxxtools::connect(client_.replyFinished, *this, &Exchange::OnReplyFinished);
    request_.method(call.method);
    for (const auto& [key, value] : call.headers) {
      request_.setHeader(key.c_str(), value.c_str());
    }
    request_.setHeader("Connection", "close");
    request_.body() << call.body;
  }

  // Throws a cxxtools exception if the exchange fails.
  HttpReply Run(SteadyTime deadline) {
    client_.beginExecute(request_);
    while (!finished_) {
      const Duration left = deadline - std::chrono::steady_clock::now();
      if (left <= Duration::zero()) {
        throw HttpError("no complete reply before the timeout");
      }
      selector_.wait(cxxtools::Milliseconds(
          std::chrono::duration<double, std::milli>(left).count()));
    }
    client_.endExecute();
    reply_.status = static_cast<int>(client_.header().httpReturnCode());
    if (const char* type = client_.header().getHeader("Content-Type")) {
      reply_.content_type = type;
    }
    return std::move(reply_);
  }

 private:
  std::size_t OnBodyAvailable(cxxtools::http::Client& client) {
    std::istream& in = client.in();
    const std::streamsize n = in.rdbuf()->in_avail();
    if (n <= 0) {
      return 0;
    }
    std::string buf(static_cast<size_t>(n), '\0');
    in.read(buf.data(), n);
    reply_.body += buf;
    return buf.size();
  }

  void OnReplyFinished(cxxtools::http::Client& /*client*/) { finished_ = true; }

  cxxtools::Selector selector_;
  // The client holds a pointer to the request until the reply has ended.
  cxxtools::http::Request request_;
  cxxtools::http::Client client_;
  HttpReply reply_;
  bool finished_ = false;
};

}  // namespace

HttpReply Execute(const HttpCall& call) {
  const SteadyTime deadline = std::chrono::steady_clock::now() + call.timeout;
  try {
    return Exchange(call).Run(deadline);
  } catch (const std::exception& e) {
    throw HttpError("request to " + call.host + ":" +
                    std::to_string(call.port) + call.path +
                    " failed: " + e.what());
  }
}

}  // namespace gooseberryrock::http
