// An HTTP server over cxxtools::http::Server.

#include "gooseberryrock/http/http_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <cctype>
#include <istream>
#include <ostream>
#include <string>
#include <thread>
#include <utility>

#include "gooseberryrock/http/http_error.h"

namespace gooseberryrock::http {

namespace {

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

class FunctionService : public cxxtools::http::Service {
 public:
  FunctionService(HttpServer::Handler handler, size_t max_body_bytes)
      : handler_(std::move(handler)), max_body_bytes_(max_body_bytes) {}

  const HttpServer::Handler& handler() const { return handler_; }
  size_t max_body_bytes() const { return max_body_bytes_; }

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override;
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  const HttpServer::Handler handler_;
  const size_t max_body_bytes_;
};

// Collects the body of one request up to the limit and calls the handler.
class FunctionResponder : public cxxtools::http::Responder {
 public:
  explicit FunctionResponder(FunctionService& service)
      : Responder(service), service_(service) {}

  // Reads what is there already and returns the number of bytes read.
  std::size_t readBody(std::istream& in) override {
    const std::streamsize n = in.rdbuf()->in_avail();
    if (n <= 0) {
      return 0;
    }
    std::string buf(static_cast<size_t>(n), '\0');
    in.read(buf.data(), n);
    if (body_.size() + buf.size() > service_.max_body_bytes()) {
      body_too_large_ = true;
      body_.clear();
    } else if (!body_too_large_) {
      body_ += buf;
    }
    return buf.size();
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const HttpReply answer = Answer(request);
    reply.httpReturn(static_cast<unsigned>(answer.status),
                     answer.status < 400 ? "OK" : "Error");
    reply.setHeader("Content-Type", answer.content_type.c_str());
    out << answer.body;
  }

 private:
  HttpReply Answer(const cxxtools::http::Request& request) {
    HttpRequest it;
    it.method = request.method();
    it.path = request.url();
    for (const auto& [key, value] : request.header()) {
      it.headers[LowerCase(key)] = value;
    }
    it.body = std::move(body_);
    it.body_too_large = body_too_large_;
    try {
      return service_.handler()(it);
    } catch (...) {
      // An exception that leaves the responder ends the worker's connection
      // without a reply, or the worker.
      return {500, "application/json",
              R"({"error":"internal","message":"the request failed"})"};
    }
  }

  FunctionService& service_;
  std::string body_;
  bool body_too_large_ = false;
};

cxxtools::http::Responder* FunctionService::createResponder(
    const cxxtools::http::Request& /*request*/) {
  return new FunctionResponder(*this);
}

}  // namespace

struct HttpServer::Impl {
  Impl(const HttpServerOptions& options, Handler handler)
      : service(std::move(handler), options.max_body_bytes), server(loop) {
    server.minThreads(options.threads);
    server.maxThreads(options.threads);
    server.addService(cxxtools::Regex(".*"), service);
    try {
      server.listen(options.host, options.port);
    } catch (const std::exception& e) {
      throw HttpError("cannot listen on " + options.host + ":" +
                      std::to_string(options.port) + ": " + e.what());
    }
    thread = std::thread([this] { loop.run(); });
  }

  ~Impl() {
    loop.exit();
    thread.join();
  }

  cxxtools::EventLoop loop;
  FunctionService service;
  cxxtools::http::Server server;
  std::thread thread;
};

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler))) {}

HttpServer::~HttpServer() = default;

}  // namespace gooseberryrock::http
