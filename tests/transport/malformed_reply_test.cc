// Tests replies whose status line, header or trailer is not valid HTTP
// (RFC 9110, section 15, and RFC 9112, sections 5 and 7.1.2).

#include <gtest/gtest.h>

#include <cctype>
#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

#include "gooseberryrock/transport/server_connection.h"
#include "raw_socket.h"
#include "server_caller.h"

namespace gooseberryrock::transport {
namespace {

using http::RawServer;
using http::RawSocket;
using std::chrono::seconds;

constexpr size_t kMaxBody = 10000;
constexpr std::string_view kOk = "HTTP/1.1 200 OK\r\n";
// The rest of a reply after a field, and of a reply with a trailer after its
// last chunk.
constexpr std::string_view kBody = "Content-Length: 5\r\n\r\nabcde";
constexpr std::string_view kChunkedBody =
    "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n";

using Parts = std::initializer_list<std::string_view>;

std::string Join(Parts parts) {
  std::string text;
  for (const std::string_view it : parts) {
    text += it;
  }
  return text;
}

class MalformedReplyTest : public testing::Test {
 protected:
  // Returns the reply to one request, to which the server sends `text`.
  Reply Call(const std::string& text, bool byte_by_byte = false) {
    RawServer server([&](RawSocket& socket, size_t) {
      socket.ReadUntil("\r\n\r\n", seconds(1));
      byte_by_byte ? socket.SendByteByByte(text) : socket.Send(text);
    });
    return caller_.Call(server.port(), kMaxBody);
  }

  // Expects the status, whether the reply is sent at once or byte by byte.
  void ExpectStatus(Parts parts, ReplyStatus status) {
    const std::string text = Join(parts);
    EXPECT_EQ(Call(text).status, status) << text;
    EXPECT_EQ(Call(text, /*byte_by_byte=*/true).status, status) << text;
  }

  ServerCaller caller_;
};

// Guards against a reply that a caller gets with a status that HTTP does not
// have, which the caller can take for anything.
TEST_F(MalformedReplyTest, StatusOutOfRangeIsRefused) {
  for (int status = 0; status <= 999; ++status) {
    std::string digits = std::to_string(status);
    digits.insert(0, 3 - digits.size(), '0');
    const Reply reply = Call(Join({"HTTP/1.1 ", digits, " X\r\n", kBody}));
    if (status >= 200 && status <= 599) {
      EXPECT_EQ(reply.status, ReplyStatus::kComplete) << status;
      EXPECT_EQ(reply.response.result_int(), static_cast<unsigned>(status));
    } else {
      EXPECT_NE(reply.status, ReplyStatus::kComplete) << status;
    }
  }
}

// Guards against a reply without a valid status that becomes the start of the
// reply after it, which is then taken for its body.
TEST_F(MalformedReplyTest, ReplyAfterStatusOutOfRangeIsNotItsBody) {
  for (const std::string_view status : {"000", "001", "099", "600", "999"}) {
    ExpectStatus({"HTTP/1.1 ", status, " X\r\n\r\n", kOk, kBody},
                 ReplyStatus::kMalformed);
    ExpectStatus({"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 ", status,
                  " X\r\n\r\n", kOk, kBody},
                 ReplyStatus::kMalformed);
    ExpectStatus({"HTTP/1.0 ", status, "\r\n\r\n"}, ReplyStatus::kMalformed);
  }
}

// Guards against other faults in the status line.
TEST_F(MalformedReplyTest, MalformedStatusLinesAreRefused) {
  for (const std::string_view line :
       {"HTTP/1.1 20", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK",
        "HTTP/2.0 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK",
        "HTTP/1.1 200 O\nK"}) {
    ExpectStatus({line, "\r\n", kBody}, ReplyStatus::kMalformed);
  }
}

// Guards against a line that is taken as part of the field before it, for
// example of the digest of the reply.
TEST_F(MalformedReplyTest, FoldedLinesAreRefused) {
  for (const std::string_view lines :
       {"X: a\r\n b\r\n", "X: a\r\n\tb\r\n", "X: a\r\n \r\n", "X: a\r\n\t\r\n",
        "X:\r\n b\r\n", "X: \r\n \t b\r\n", "X: a\r\n b\r\n c\r\n",
        "X: a\r\n b: c\r\n", " X: a\r\n", "\tX: a\r\n", " \r\n"}) {
    ExpectStatus({kOk, lines, kBody}, ReplyStatus::kMalformed);
    ExpectStatus({kOk, "Y: z\r\n", lines, kBody}, ReplyStatus::kMalformed);
    ExpectStatus({"HTTP/1.1 103 Early Hints\r\n", lines, "\r\n", kOk, kBody},
                 ReplyStatus::kMalformed);
    ExpectStatus({kOk, kChunkedBody, lines, "\r\n"}, ReplyStatus::kMalformed);
  }
  ExpectStatus({kOk, "Content-Length:\r\n 5\r\n\r\nabcde"},
               ReplyStatus::kMalformed);
  ExpectStatus({kOk, "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n"},
               ReplyStatus::kMalformed);
}

// Guards against names of fields that another reader takes for another name, or
// for the end of the header.
TEST_F(MalformedReplyTest, NamesWithOtherBytesAreRefused) {
  for (int byte = 0; byte <= 0xff; ++byte) {
    const char c = static_cast<char>(byte);
    const std::string_view text(&c, 1);
    // RFC 9110, section 5.6.2. A colon ends the name.
    const bool allowed =
        (byte < 0x80 && std::isalnum(byte) != 0) ||
        std::string_view("!#$%&'*+-.^_`|~:").find(c) != std::string_view::npos;
    const ReplyStatus expected =
        allowed ? ReplyStatus::kComplete : ReplyStatus::kMalformed;
    ExpectStatus({kOk, "X", text, "Y: z\r\n", kBody}, expected);
    ExpectStatus({kOk, kChunkedBody, "X", text, "Y: z\r\n\r\n"}, expected);
    if (!allowed) {
      ExpectStatus({kOk, "X", text, ": z\r\n", kBody}, expected);
      ExpectStatus({kOk, text, "X: z\r\n", kBody}, expected);
    }
  }
  for (const std::string_view line :
       {": z\r\n", "X\r\n", ":\r\n", "X\n: z\r\n"}) {
    ExpectStatus({kOk, line, kBody}, ReplyStatus::kMalformed);
  }
}

// Guards against control bytes in the value of a field, which callers would
// get.
TEST_F(MalformedReplyTest, ControlBytesInValuesAreRefused) {
  for (int byte = 0; byte <= 0xff; ++byte) {
    const char c = static_cast<char>(byte);
    const bool allowed = (byte >= 0x20 && byte != 0x7f) || byte == '\t';
    ExpectStatus({kOk, "X: a", std::string_view(&c, 1), "b\r\n", kBody},
                 allowed ? ReplyStatus::kComplete : ReplyStatus::kMalformed);
  }
}

// Guards against fields of a trailer that count as fields of the header. They
// are sent after the body and may state something else about the reply.
TEST_F(MalformedReplyTest, TrailerFieldsAreNotHeaderFields) {
  const std::string text =
      Join({"HTTP/1.1 500 Error\r\nX: header\r\n", kChunkedBody,
            "X: trailer\r\nY: trailer\r\n\r\n"});
  for (const bool byte_by_byte : {false, true}) {
    const Reply reply = Call(text, byte_by_byte);
    EXPECT_EQ(reply.status, ReplyStatus::kComplete);
    EXPECT_EQ(reply.response.result_int(), 500U);
    EXPECT_EQ(reply.response.body(), "abcde");
    EXPECT_EQ(reply.response.count("X"), 1U);
    EXPECT_EQ(reply.response["X"], "header");
    EXPECT_EQ(reply.response.count("Y"), 0U);
  }
  for (const std::string_view field :
       {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
    ExpectStatus({kOk, kChunkedBody, field, "\r\n"}, ReplyStatus::kMalformed);
  }
}

}  // namespace
}  // namespace gooseberryrock::transport
