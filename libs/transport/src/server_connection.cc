// A connection to a backend server.

#include "gooseberryrock/transport/server_connection.h"

#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "gooseberryrock/transport/endpoint.h"
#include "gooseberryrock/transport/memory_reservation.h"
#include "message_framing.h"
#include "reply_parser.h"
#include "socket_options.h"

namespace gooseberryrock::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

// Interim replies that are skipped before the final one.
constexpr int kMaxInterimReplies = 8;

bool IsInterim(const http::response_header<>& header) {
  return http::to_status_class(header.result_int()) ==
         http::status_class::informational;
}

ReplyStatus StatusOf(const ErrorCode& ec) {
  if (!ec) {
    return ReplyStatus::kComplete;
  }
  const bool parse_error =
      ec.category() == http::make_error_code(http::error{}).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message;
  return parse_error ? ReplyStatus::kMalformed : ReplyStatus::kConnectionLost;
}

}  // namespace

struct ServerConnection::Impl {
  Impl(asio::io_context& context, ReplyMemory* reply_memory, std::string name)
      : socket(context),
        connect_timer(context),
        buffer(kMaxBufferedBytes),
        memory(reply_memory),
        holder(std::move(name)) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer connect_timer;
  boost::beast::flat_buffer buffer;
  Request request;
  bool writing = false;
  std::optional<ReplyParser> parser;
  size_t max_body = 0;
  // Null if the memory for replies is not limited.
  ReplyMemory* const memory;
  const std::string holder;
  // The memory of the body that is being read.
  MemoryReservation reservation;
  bool given_up = false;
  // Interim replies before the current one.
  int interim_replies = 0;
  ReplyHandler on_reply;
  InterimHandler on_interim;
  // Incremented by each Send(), to ignore the result of an earlier WatchIdle().
  uint64_t send_count = 0;
  bool closed = false;
};

ServerConnection::ServerConnection(asio::io_context& context)
    : impl_(std::make_unique<Impl>(context, nullptr, std::string())) {}

ServerConnection::ServerConnection(asio::io_context& context,
                                   ReplyMemory& memory,
                                   std::string holder)
    : impl_(std::make_unique<Impl>(context, &memory, std::move(holder))) {}

ServerConnection::~ServerConnection() = default;

void ServerConnection::Connect(const Endpoint& endpoint,
                               Duration timeout,
                               ConnectHandler handler) {
  ErrorCode ec;
  const auto address = asio::ip::make_address(endpoint.host, ec);
  auto self = shared_from_this();
  auto done = [self, handler = std::move(handler)](const ErrorCode& result) {
    Impl& impl = *self->impl_;
    impl.connect_timer.cancel();
    if (impl.closed) {
      return;
    }
    if (!result) {
      SetSocketOptions(impl.socket);
    }
    handler(!result);
  };
  if (ec) {
    asio::post(impl_->socket.get_executor(), [done, ec] { done(ec); });
    return;
  }
  impl_->connect_timer.expires_after(timeout);
  impl_->connect_timer.async_wait([self](const ErrorCode& result) {
    if (!result) {
      ErrorCode ignored;
      self->impl_->socket.close(ignored);
    }
  });
  impl_->socket.async_connect({address, endpoint.port}, done);
}

void ServerConnection::Send(Request request,
                            size_t max_body,
                            ReplyHandler handler,
                            InterimHandler on_interim) {
  Impl& impl = *impl_;
  ++impl.send_count;
  impl.on_interim = std::move(on_interim);
  impl.request = std::move(request);
  impl.writing = true;
  auto self = shared_from_this();
  http::async_write(impl.socket, impl.request,
                    [self](const ErrorCode& ec, size_t) {
                      if (!ec) {
                        self->impl_->writing = false;
                      }
                      // A failed write also causes the read to fail.
                    });
  ReadNextReply(max_body, std::move(handler));
}

void ServerConnection::ReadNextReply(size_t max_body, ReplyHandler handler) {
  impl_->on_reply = std::move(handler);
  impl_->max_body = max_body;
  impl_->interim_replies = 0;
  ReadHeader();
}

// The header is read by itself: when header and body arrive together,
// Beast 1.74 reads the whole body, whatever the limit.
void ServerConnection::ReadHeader() {
  Impl& impl = *impl_;
  impl.parser.emplace();
  impl.parser->body_limit(impl.max_body);
  if (impl.request.method() == http::verb::head) {
    impl.parser->skip(true);
  }
  http::async_read_header(
      impl.socket, impl.buffer, *impl.parser,
      [self = shared_from_this()](const ErrorCode& ec, size_t) {
        if (self->impl_->closed) {
          return;
        }
        if (ec) {
          self->Finish(StatusOf(ec));
        } else {
          self->OnHeader();
        }
      });
}

void ServerConnection::OnHeader() {
  Impl& impl = *impl_;
  const http::response_header<>& header = impl.parser->get();
  if (IsInterim(header)) {
    // No request asks for another protocol.
    if (header.result() != http::status::switching_protocols &&
        ++impl.interim_replies <= kMaxInterimReplies) {
      // A copy, because the handler may close the connection.
      if (const InterimHandler on_interim = impl.on_interim) {
        on_interim(Response(header));
      }
      if (!impl.closed) {
        ReadHeader();
      }
    } else {
      Finish(ReplyStatus::kMalformed);
    }
    return;
  }
  if (CheckFraming(header) != FramingProblem::kNone) {
    Finish(ReplyStatus::kMalformed);
    return;
  }
  if (impl.parser->is_done()) {
    Finish(ReplyStatus::kComplete);
    return;
  }
  impl.parser->eager(true);
  impl.reservation.Start(impl.memory, impl.holder, [this] { GiveUp(); });
  ReadBody();
}

void ServerConnection::ReadBody() {
  http::async_read_some(
      impl_->socket, impl_->buffer, *impl_->parser,
      [self = shared_from_this()](const ErrorCode& ec, size_t) {
        self->OnBody(!ec, StatusOf(ec));
      });
}

void ServerConnection::OnBody(bool readable, ReplyStatus status) {
  Impl& impl = *impl_;
  if (impl.closed) {
    return;
  }
  if (!impl.given_up) {
    impl.reservation.Resize(impl.parser->body().capacity());
  }
  if (impl.given_up) {
    Finish(ReplyStatus::kGivenUp);
  } else if (!readable || impl.parser->is_done()) {
    Finish(status);
  } else {
    ReadBody();
  }
}

// Frees the memory at once; the read that is in progress ends and reports it.
void ServerConnection::GiveUp() {
  Impl& impl = *impl_;
  impl.given_up = true;
  std::string().swap(impl.parser->body());
  ErrorCode ignored;
  impl.socket.close(ignored);
}

void ServerConnection::Finish(ReplyStatus status) {
  Impl& impl = *impl_;
  impl.reservation.End();
  Reply reply;
  reply.status = status;
  if (status == ReplyStatus::kComplete) {
    // Bytes after the reply, or a request body that the peer has not read
    // completely, would be mistaken for part of the next exchange.
    reply.reusable =
        impl.parser->keep_alive() && !impl.writing && impl.buffer.size() == 0;
    reply.response = impl.parser->Release();
  }
  impl.parser.reset();
  FreeLargeBuffer(impl.buffer);
  std::exchange(impl.on_reply, nullptr)(std::move(reply));
}

void ServerConnection::WatchIdle(std::function<void()> handler) {
  auto self = shared_from_this();
  const uint64_t send_count = impl_->send_count;
  impl_->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self, send_count, handler = std::move(handler)](const ErrorCode& ec) {
        if (!ec && !self->impl_->closed &&
            self->impl_->send_count == send_count) {
          handler();
        }
      });
}

void ServerConnection::Close() {
  if (impl_->closed) {
    return;
  }
  impl_->closed = true;
  ErrorCode ignored;
  if (impl_->on_reply) {
    // Resets the connection, so that bytes which have not been delivered yet
    // never are: after a partition the peer would otherwise get a request that
    // was given up long ago.
    impl_->socket.set_option(boost::asio::socket_base::linger(true, 0),
                             ignored);
  }
  impl_->on_reply = nullptr;
  impl_->on_interim = nullptr;
  impl_->connect_timer.cancel();
  impl_->reservation.End();
  impl_->socket.close(ignored);
}

}  // namespace gooseberryrock::transport
