// Faults of backend servers, nodes and callers against a cluster of processes.

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <list>
#include <map>
#include <string>
#include <thread>

#include "cluster.h"
#include "raw_socket.h"

namespace gooseberryrock::process_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AnyOf;
using testing::ElementsAre;
using testing::StartsWith;

class ProcessTest : public testing::Test {
 protected:
  // The answer says that the rows of s1, and no others, are missing.
  static void ExpectOnlyShard1Missing(const proto::QueryAnswer& answer) {
    EXPECT_EQ(answer.status(), "partial") << answer.ShortDebugString();
    EXPECT_THAT(answer.coverage().missing_shards(), ElementsAre("s1"));
    EXPECT_THAT(answer.rows(),
                ElementsAre(StartsWith("s0/1/1/"), StartsWith("s2/1/1/")));
  }

  Query Booking(uint64_t number) {
    Query query;
    query.text = "book chair 12";
    query.request_id = NewRequestId(number);
    query.idempotent = false;
    query.routing_key = "chair-" + std::to_string(number);
    return query;
  }

  Cluster cluster_;
};

// Guards against a node that works alone but not with separate servers.
TEST_F(ProcessTest, SearchThroughEachNodeIsComplete) {
  for (size_t i = 0; i < kNodes; ++i) {
    const Reply reply = cluster_.Send(i);
    EXPECT_EQ(reply.http_status, 200);
    EXPECT_EQ(reply.answer.status(), "complete");
    EXPECT_EQ(reply.answer.coverage().shards_answered(), kShards);
    EXPECT_THAT(reply.answer.rows(),
                ElementsAre(StartsWith("s0/1/1/"), StartsWith("s1/1/1/"),
                            StartsWith("s2/1/1/")));
  }
}

// Guards against an answer that hides a shard without servers, at once and
// after the servers' records have expired.
TEST_F(ProcessTest, LostShardIsNamed) {
  for (size_t n = 3; n < 6; ++n) {
    cluster_.server(n).Signal(SIGKILL);
    cluster_.server(n).WaitForEnd(seconds(2));
  }
  ExpectOnlyShard1Missing(cluster_.Send(0).answer);
  std::this_thread::sleep_for(milliseconds(2800));
  for (size_t i = 0; i < kNodes; ++i) {
    ExpectOnlyShard1Missing(cluster_.Send(i).answer);
  }
}

// Guards against a shutdown that cuts answers, or that refuses callers before
// the balancer can know.
TEST_F(ProcessTest, ShutdownDuringLoadCutsNoAnswer) {
  cluster_.StartLoad(5, {"--rates", "40", "20", "20"});
  std::this_thread::sleep_for(seconds(1));
  cluster_.node(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(cluster_.Ready(0), 503);
  EXPECT_EQ(cluster_.Send(0).answer.status(), "complete");
  const auto status = cluster_.node(0).WaitForEnd(seconds(5));
  ASSERT_TRUE(status.has_value()) << "the node does not end";
  EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 0) << *status;
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("complete"), load.sent) << load.output;
}

// Guards against a request in flight at SIGTERM whose answer is cut.
TEST_F(ProcessTest, ShutdownFinishesSlowRequestInFlight) {
  for (size_t n = 0; n < kServers; ++n) {
    cluster_.Control(n, {{"service_time_ms", 2600}, {"service_time_sigma", 0}});
  }
  Query query;
  query.deadline = seconds(5);
  Reply reply;
  std::thread caller([&] { reply = cluster_.Send(0, query); });
  std::this_thread::sleep_for(milliseconds(200));
  cluster_.node(0).Signal(SIGTERM);
  caller.join();
  EXPECT_EQ(reply.answer.status(), "complete") << reply.body;
  EXPECT_TRUE(cluster_.node(0).WaitForEnd(seconds(5)).has_value());
}

// Guards against wrong or lost answers when a server is killed.
TEST_F(ProcessTest, KilledServerDuringLoadGivesNoWrongAnswer) {
  cluster_.StartLoad(3, {"--rates", "60", "20", "20"});
  std::this_thread::sleep_for(seconds(1));
  cluster_.server(4).Signal(SIGKILL);
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("complete") + load.Count("partial"), load.sent)
      << load.output;
}

// Guards against wrong or lost answers when a server stops and continues, and
// against a server that gets no work any more afterwards.
TEST_F(ProcessTest, StoppedServerDuringLoadGivesNoWrongAnswer) {
  cluster_.StartLoad(5, {"--rates", "60", "20", "20"});
  std::this_thread::sleep_for(seconds(1));
  cluster_.server(4).Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1500));
  cluster_.server(4).Signal(SIGCONT);
  std::this_thread::sleep_for(seconds(1));
  const auto before = cluster_.Stats(4)["done"].get<uint64_t>();
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("lost") + load.Count("failed"), 0U) << load.output;
  EXPECT_GT(cluster_.Stats(4)["done"].get<uint64_t>(), before);
}

// Guards against open connections that stop responding for good: idempotent
// requests have to meet 99% of their deadlines, with all rows, and no server is
// marked as failed (design page, 1.8).
TEST_F(ProcessTest, SilentConnectionsAreReplaced) {
  // Opens the connections that then become silent.
  cluster_.StartLoad(1.5, {"--rates", "60", "20", "20"});
  EXPECT_EQ(cluster_.WaitForLoad().wrong, 0U);
  for (size_t n = 0; n < kServers; ++n) {
    cluster_.Silence(n);
  }
  cluster_.StartLoad(2, {"--rates", "60", "20", "20", "--seed", "2"});
  std::this_thread::sleep_for(seconds(1));
  for (size_t i = 0; i < kNodes; ++i) {
    EXPECT_EQ(cluster_.Send(i).answer.status(), "complete") << "node " << i;
  }
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_GE(load.OnTimeShare(), 0.99) << load.output;
}

// Guards against a cut reply that is merged as if it were whole.
TEST_F(ProcessTest, HalfReplyIsNeverMerged) {
  for (const char* kind : {"content_length", "chunked"}) {
    SCOPED_TRACE(kind);
    cluster_.ControlShard(1, {{"half_reply", kind}});
    for (size_t i = 0; i < 2 * kNodes; ++i) {
      ExpectOnlyShard1Missing(cluster_.Send(i % kNodes).answer);
    }
  }
}

// Guards against rows of another snapshot in an answer.
TEST_F(ProcessTest, WrongSnapshotIsNeverMerged) {
  cluster_.ControlShard(1, {{"wrong_snapshot", true}});
  for (size_t i = 0; i < 2 * kNodes; ++i) {
    ExpectOnlyShard1Missing(cluster_.Send(i % kNodes).answer);
  }
}

// Guards against an answer that mixes two snapshots while servers change to a
// new index version one after the other.
TEST_F(ProcessTest, RollOutKeepsOneSnapshot) {
  cluster_.StartLoad(4, {"--rates", "60", "20", "20"});
  for (size_t n = 0; n < kServers; ++n) {
    std::this_thread::sleep_for(milliseconds(200));
    cluster_.Control(n, {{"layouts",
                          {{{"layout_version", 1},
                            {"shards", {"s" + std::to_string(n / kShards)}},
                            {"index_versions", {1, 2}}}}}});
  }
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("complete"), load.sent) << load.output;
  EXPECT_EQ(cluster_.Send(0).answer.index_version(), 2U);
}

// Guards against a second execution of a booking whose server closes the
// connection after reading it, also on connections that were used before.
TEST_F(ProcessTest, BookingRunsOnceOnServerThatCloses) {
  for (size_t n = 0; n < kServers; ++n) {
    cluster_.Control(n, {{"close_after_read", true}});
  }
  for (uint64_t number = 0; number < 12; ++number) {
    const Query booking = Booking(number);
    const Reply reply = cluster_.Send(number % kNodes, booking);
    EXPECT_EQ(reply.answer.status(), "outcome_unknown") << reply.body;
    EXPECT_EQ(cluster_.Executions()[booking.request_id], 1U);
  }
}

// Guards against a booking that runs again when the caller sends it again, to
// the same node or another one.
TEST_F(ProcessTest, ResentBookingRunsOnce) {
  const Query booking = Booking(1);
  EXPECT_EQ(cluster_.Send(0, booking).answer.status(), "complete");
  for (size_t i = 0; i < kNodes; ++i) {
    EXPECT_THAT(cluster_.Send(i, booking).answer.status(),
                AnyOf("complete", "outcome_unknown"));
  }
  EXPECT_EQ(cluster_.Executions()[booking.request_id], 1U);
}

// Guards against executions that no answer accounts for: each booking under
// load has a complete answer and runs exactly once.
TEST_F(ProcessTest, ExecutionsMatchAnswersUnderLoad) {
  const auto before = cluster_.Executions();
  cluster_.StartLoad(2, {"--rates", "60", "20", "20", "--booking-share", "1"});
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("complete"), load.sent) << load.output;
  auto executions = cluster_.Executions();
  std::erase_if(executions,
                [&](const auto& it) { return before.contains(it.first); });
  EXPECT_EQ(executions.size(), load.sent);
  for (const auto& [id, n] : executions) {
    EXPECT_EQ(n, 1U) << id;
  }
}

// Guards against a request that ends one server after the other: it may reach
// at most 3 of them, whatever the number of resends and nodes (design page,
// 1.8).
TEST_F(ProcessTest, CrashingRequestReachesAtMostThreeServers) {
  Query query;
  query.text = "CRASH";
  for (size_t i = 0; i < 3 * kNodes; ++i) {
    cluster_.Send(i % kNodes, query);
  }
  size_t crashed = 0;
  for (size_t n = 0; n < kServers; ++n) {
    crashed += cluster_.server(n).running() ? 0 : 1;
  }
  EXPECT_GE(crashed, 1U);
  EXPECT_LE(crashed, 3U);
}

// Guards against new work on a server that is leaving.
TEST_F(ProcessTest, DrainingServerGetsNoNewWork) {
  cluster_.StartLoad(5, {"--rates", "60", "20", "20"});
  std::this_thread::sleep_for(milliseconds(500));
  cluster_.Control(4, {{"state", "draining"}});
  std::this_thread::sleep_for(seconds(2));
  const auto before = cluster_.Stats(4)["subqueries"].get<uint64_t>();
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(cluster_.Stats(4)["subqueries"].get<uint64_t>(), before);
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("complete"), load.sent) << load.output;
}

// Guards against more connections to a server than it allows.
TEST_F(ProcessTest, ConnectionLimitIsKeptUnderLoad) {
  for (size_t n = 0; n < kServers; ++n) {
    cluster_.Control(n, {{"service_time_ms", 20}});
  }
  cluster_.StartLoad(3, {"--rates", "200", "50", "50"});
  cluster_.WaitForLoad();
  for (size_t n = 0; n < kServers; ++n) {
    const auto stats = cluster_.Stats(n);
    EXPECT_LE(stats["connections_most_open"], 30) << "server " << n;
    EXPECT_EQ(stats["connections_refused"], 0) << "server " << n;
  }
}

// Guards against input that ends the process or stops it from serving.
TEST_F(ProcessTest, BadInputDoesNotStopNode) {
  std::string garbage;
  for (int i = 0; i < 4096; ++i) {
    garbage += static_cast<char>(i * 31);
  }
  const std::string post = "POST /v1/query/chairs HTTP/1.1\r\n";
  const std::vector<std::string> inputs = {
      garbage,
      "\r\n\r\n\r\n",
      "GET /" + std::string(200000, 'a') + " HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nX: " + std::string(100000, 'h') + "\r\n\r\n",
      post + "Content-Length: 99999999999999999999\r\n\r\n{}",
      post + "Content-Length: 1000000\r\n\r\n" + std::string(1000000, '{'),
      post + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n{}",
      post + "Content-Length: 20000\r\n\r\n" + std::string(20000, '['),
      "POST /v1/announce HTTP/1.1\r\nContent-Length: 9\r\n\r\n{\"id\":[[]",
      "POST /v1/operator/SubmitCommand HTTP/1.1\r\n\r\n"};
  for (const std::string& input : inputs) {
    http::RawSocket socket(http::Connect(cluster_.node_port(0)));
    socket.Send(input);
    socket.ReadUntil("\r\n\r\n", milliseconds(100));
    EXPECT_TRUE(cluster_.node(0).running()) << input.substr(0, 80);
  }
  EXPECT_EQ(cluster_.Send(0).answer.status(), "complete");
}

// Guards against callers that send slowly and thereby keep others out.
TEST_F(ProcessTest, SlowCallersDoNotKeepOthersOut) {
  std::list<http::RawSocket> slow;
  for (int i = 0; i < 200; ++i) {
    slow.emplace_back(http::Connect(cluster_.node_port(0)))
        .Send("POST /v1/query/chairs HTTP/1.1\r\nContent-Length: 50\r\n\r\n{");
  }
  const SteadyTime begun = std::chrono::steady_clock::now();
  EXPECT_EQ(cluster_.Send(0).answer.status(), "complete");
  EXPECT_LT(std::chrono::steady_clock::now() - begun, seconds(1));
}

// Guards against a body over the limit that is taken or left without a reply.
TEST_F(ProcessTest, LargeQueryIsRefusedWithReason) {
  Query query;
  query.text = std::string(100000, 'x');
  EXPECT_EQ(cluster_.Send(0, query).http_status, 413);
  query.text = std::string(20000, 'x');
  EXPECT_EQ(cluster_.Send(0, query).http_status, 400);
}

}  // namespace
}  // namespace gooseberryrock::process_test
