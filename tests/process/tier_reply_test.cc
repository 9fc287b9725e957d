// Tests what callers get when servers send replies that are not valid HTTP,
// with control VMs and entry nodes as processes.

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "malformed_headers.h"
#include "raw_socket.h"
#include "tier_cluster.h"

namespace gooseberryrock::process_test {
namespace {

namespace beast_http = boost::beast::http;
using http::RawServer;
using http::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The service of the route /one/, and a shard of the route /all/.
constexpr size_t kSingle = 3;
constexpr size_t kShard = 0;

// Headers that are not valid HTTP, one of each kind.
const std::vector<std::string> kMalformedHeaders = {
    "HTTP/1.1 000 X\r\nX-Server-Stamp: malformed\r\n\r\nHTTP/1.1 200 OK\r\n",
    "HTTP/1.1 600 X\r\n",
    "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n",
    "HTTP/1.1 200 OK\r\nX Y: a\r\n",
    "HTTP/1.1 200 OK\r\nX\x01Y: a\r\n",
};

// Adds the stamp and the body that would make a reply with a valid header an
// answer.
std::string MalformedReply(const std::string& header) {
  return header + "X-Server-Stamp: malformed\r\nContent-Length: 3\r\n\r\nzzz";
}

constexpr char kSoundReply[] =
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: sound\r\nContent-Length: 3\r\n\r\nsss";

class TierReplyTest : public testing::Test {
 protected:
  explicit TierReplyTest(TierOptions options = {}, bool byte_by_byte = false)
      : byte_by_byte_(byte_by_byte),
        cluster_(
            testing::TempDir() + "tier-reply-" +
                testing::UnitTest::GetInstance()->current_test_info()->name(),
            std::move(options)) {}

  void SetUp() override {
    ASSERT_TRUE(cluster_.PutRoutes(5));
    for (size_t i = 0; i < kEntryNodes; ++i) {
      ASSERT_TRUE(cluster_.WaitForCompleteAnswer(i, seconds(10)));
    }
  }

  // From now on the servers of the service send what SetReply() has set, and
  // close the connection.
  void ReplaceServers(size_t service) {
    for (size_t i = 0; i < kServersPerService; ++i) {
      servers_.push_back(
          std::make_unique<RawServer>([this](RawSocket& socket, size_t) {
            const std::string request = socket.ReadRequest();
            if (!request.empty()) {
              const std::string reply = TakeReply(request);
              byte_by_byte_ ? socket.SendByteByByte(reply) : socket.Send(reply);
            }
          }));
      cluster_.AnnounceAt(service, i, servers_.back()->port());
    }
    // The entry nodes hear of the new processes within a second.
    std::this_thread::sleep_for(milliseconds(1500));
  }

  // Sets the reply to a request, and to one that has been sent to a server
  // before.
  void SetReply(const std::string& first, const std::string& repeated) {
    std::lock_guard lock(mutex_);
    first_reply_ = first;
    repeated_reply_ = repeated;
  }
  void SetReply(const std::string& reply) { SetReply(reply, reply); }

  // Sends non-idempotent requests until one has reached a replaced server, and
  // returns the response to that one. A request that reached none must be
  // refused.
  std::optional<transport::Response> SendUntilRun() {
    for (int i = 0; i < 50; ++i) {
      const int before = requests_;
      auto response = cluster_.SendRequest(0, "POST", "/one/x");
      if (requests_ != before) {
        EXPECT_EQ(requests_, before + 1);
        return response;
      }
      EXPECT_TRUE(response && response->result() ==
                                  beast_http::status::service_unavailable);
      std::this_thread::sleep_for(milliseconds(100));
    }
    ADD_FAILURE() << "no request reached a server";
    return std::nullopt;
  }

  // Sends gathered requests to the entry node for each malformed reply. Another
  // attempt gets `repeated`. Expects that answers contain nothing of the
  // malformed reply, and that one of those for which a server has sent it
  // leaves out `missing` parts; on a busy machine others may leave out more.
  void ExpectGatheredAnswers(size_t entry,
                             const std::string& repeated,
                             const std::string& missing) {
    for (const std::string& it : kMalformedHeaders) {
      SetReply(MalformedReply(it),
               repeated.empty() ? MalformedReply(it) : repeated);
      bool as_expected = false;
      for (int i = 0; i < 100 && !as_expected; ++i) {
        const int before = requests_;
        const auto response = cluster_.SendRequest(entry, "GET", "/all/x");
        ASSERT_TRUE(response) << it;
        EXPECT_EQ(response->result(), beast_http::status::ok) << it;
        EXPECT_EQ((*response)["X-Part-Stamps"].find("malformed"),
                  boost::beast::string_view::npos)
            << it;
        EXPECT_EQ(response->body().find('z'), std::string::npos) << it;
        as_expected =
            requests_ != before && (*response)["X-Missing-Parts"] == missing;
        std::this_thread::sleep_for(milliseconds(50));
      }
      EXPECT_TRUE(as_expected) << it;
    }
  }

  // Whether servers send replies byte by byte.
  const bool byte_by_byte_;
  TierCluster cluster_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::string first_reply_;
  std::string repeated_reply_;
  std::set<std::string> request_ids_;
  // Number of requests that replaced servers have received.
  std::atomic<int> requests_ = 0;
  std::vector<std::unique_ptr<RawServer>> servers_;

 private:
  std::string TakeReply(const std::string& request) {
    ++requests_;
    const size_t start = request.find("X-Request-Id:");
    std::lock_guard lock(mutex_);
    const bool first =
        request_ids_
            .insert(request.substr(start, request.find('\r', start) - start))
            .second;
    return first ? first_reply_ : repeated_reply_;
  }
};

// The first entry node gathers for the second one, and servers send replies
// byte by byte.
class GatherReplyTest : public TierReplyTest {
 protected:
  GatherReplyTest()
      : TierReplyTest(
            {/*connection_limit=*/3, /*servers_in_first_domain=*/true},
            /*byte_by_byte=*/true) {}
};

// Guards against a malformed reply that a caller gets as an answer, and against
// a promise that a request was not run which may have run.
TEST_F(TierReplyTest, MalformedRepliesDoNotReachCallers) {
  ReplaceServers(kSingle);
  for (const std::string& it : http::MalformedHeaders()) {
    SetReply(MalformedReply(it));
    const auto response = SendUntilRun();
    ASSERT_TRUE(response) << it;
    EXPECT_EQ(response->result(), beast_http::status::bad_gateway) << it;
    EXPECT_EQ(response->count("X-Server-Stamp"), 0U) << it;
    EXPECT_EQ(response->body(), "") << it;
  }
}

// Guards against statements in a trailer that change what a reply means: a
// failure that becomes "not run", or a reply without a digest that gets one.
TEST_F(TierReplyTest, TrailersChangeNoReply) {
  ReplaceServers(kSingle);
  SetReply(
      "HTTP/1.1 500 Error\r\nX-Server-Stamp: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nzzz\r\n0\r\n"
      "X-Not-Executed: 1\r\n\r\n");
  auto response = SendUntilRun();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result(), beast_http::status::internal_server_error);
  EXPECT_EQ((*response)["X-Server-Stamp"], "s");
  EXPECT_EQ(response->count("X-Not-Executed"), 0U);
  EXPECT_EQ(response->body(), "zzz");
  SetReply(
      "HTTP/1.1 200 OK\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nzzz\r\n0\r\n"
      "X-Server-Stamp: s\r\n\r\n");
  response = SendUntilRun();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result(), beast_http::status::bad_gateway);
  EXPECT_EQ(response->count("X-Server-Stamp"), 0U);
}

// Guards against a status that promises a caller that its request was not run,
// although the server has not stated so in the header of its reply.
TEST_F(TierReplyTest, OnlyServersPromiseThatARequestWasNotRun) {
  ReplaceServers(kSingle);
  for (const std::string status : {"408", "429", "503"}) {
    for (const std::string rest :
         {"Content-Length: 3\r\n\r\nzzz",
          "Transfer-Encoding: chunked\r\n\r\n3\r\nzzz\r\n0\r\n"
          "X-Not-Executed: 1\r\n\r\n"}) {
      std::string it = "HTTP/1.1 " + status + " X\r\n";
      it += "X-Server-Stamp: s\r\n" + rest;
      SetReply(it);
      const auto response = SendUntilRun();
      ASSERT_TRUE(response) << it;
      EXPECT_EQ(response->result(), beast_http::status::bad_gateway) << it;
      EXPECT_EQ(response->count("X-Server-Stamp"), 0U) << it;
    }
  }
}

// Guards against a malformed part that ends a gathered request whose other
// attempt would have been answered.
TEST_F(TierReplyTest, MalformedPartIsTakenFromAnotherServer) {
  ReplaceServers(kShard);
  ExpectGatheredAnswers(0, kSoundReply, "0");
}

// Guards against a malformed part that gets into an answer.
TEST_F(TierReplyTest, MalformedPartsAreMissing) {
  ReplaceServers(kShard);
  ExpectGatheredAnswers(0, "", "1");
}

// The same for parts that one entry node gathers for another.
TEST_F(GatherReplyTest, MalformedPartIsTakenFromAnotherServer) {
  ReplaceServers(kShard);
  ExpectGatheredAnswers(1, kSoundReply, "0");
}

TEST_F(GatherReplyTest, MalformedPartsAreMissing) {
  ReplaceServers(kShard);
  ExpectGatheredAnswers(1, "", "1");
}

}  // namespace
}  // namespace gooseberryrock::process_test
