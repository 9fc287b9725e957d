// Tests faults of backend servers, nodes and callers with a cluster of
// processes.

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
  // Expects a partial answer in which only the rows of shard s1 are missing.
  static void ExpectOnlyShard1Missing(const proto::QueryAnswer& answer) {
    EXPECT_EQ(answer.status(), "partial") << answer.ShortDebugString();
    EXPECT_THAT(answer.coverage().missing_shards(), ElementsAre("s1"));
    EXPECT_THAT(answer.rows(),
                ElementsAre(StartsWith("s0/1/1/"), StartsWith("s2/1/1/")));
  }

  Query MakeBooking(uint64_t number) {
    Query query;
    query.text = "book chair 12";
    query.request_id = NewRequestId(number);
    query.idempotent = false;
    query.routing_key = "chair-" + std::to_string(number);
    return query;
  }

  Cluster cluster_;
};

// Guards against a node that fails with servers in separate processes.
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

// Guards against an answer that does not report a shard without servers as
// missing, right after their loss and after their records have expired.
TEST_F(ProcessTest, LostShardIsReported) {
  for (size_t n = 3; n < 6; ++n) {
    cluster_.server(n).Signal(SIGKILL);
    cluster_.server(n).WaitForExit(seconds(2));
  }
  ExpectOnlyShard1Missing(cluster_.Send(0).answer);
  std::this_thread::sleep_for(milliseconds(2800));
  for (size_t i = 0; i < kNodes; ++i) {
    ExpectOnlyShard1Missing(cluster_.Send(i).answer);
  }
}

// Guards against a shutdown that truncates answers, or that refuses requests
// before the load balancer has noticed that the node is not ready.
TEST_F(ProcessTest, ShutdownDuringLoadTruncatesNoAnswer) {
  cluster_.StartLoad(5, {"--rates", "40", "20", "20"});
  std::this_thread::sleep_for(seconds(1));
  cluster_.node(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(cluster_.ReadinessStatus(0), 503);
  EXPECT_EQ(cluster_.Send(0).answer.status(), "complete");
  const auto status = cluster_.node(0).WaitForExit(seconds(5));
  ASSERT_TRUE(status.has_value()) << "the node does not end";
  EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 0) << *status;
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("complete"), load.sent) << load.output;
}

// Guards against a shutdown that aborts a request in flight at SIGTERM.
TEST_F(ProcessTest, ShutdownFinishesSlowRequestInFlight) {
  for (size_t n = 0; n < kServers; ++n) {
    cluster_.ChangeBehaviour(
        n, {{"service_time_ms", 2600}, {"service_time_sigma", 0}});
  }
  Query query;
  query.deadline = seconds(5);
  Reply reply;
  std::thread caller([&] { reply = cluster_.Send(0, query); });
  std::this_thread::sleep_for(milliseconds(200));
  cluster_.node(0).Signal(SIGTERM);
  caller.join();
  EXPECT_EQ(reply.answer.status(), "complete") << reply.body;
  EXPECT_TRUE(cluster_.node(0).WaitForExit(seconds(5)).has_value());
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

// Guards against wrong or lost answers when a server is suspended and resumed,
// and against a server that receives no work after it resumes.
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

// Guards against loss of service when open connections stop responding for
// good: 99% of the idempotent requests must meet their deadlines, with all
// rows, and no server may be marked as failed (design page, 1.8).
TEST_F(ProcessTest, SilentConnectionsAreReplaced) {
  // Opens the connections that are silenced afterwards.
  cluster_.StartLoad(1.5, {"--rates", "60", "20", "20"});
  EXPECT_EQ(cluster_.WaitForLoad().wrong, 0U);
  for (size_t n = 0; n < kServers; ++n) {
    cluster_.SilenceOpenConnections(n);
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

// Guards against a truncated reply that is merged as if it were complete.
TEST_F(ProcessTest, TruncatedReplyIsNeverMerged) {
  for (const char* kind : {"content_length", "chunked"}) {
    SCOPED_TRACE(kind);
    cluster_.ChangeShardBehaviour(1, {{"half_reply", kind}});
    for (size_t i = 0; i < 2 * kNodes; ++i) {
      ExpectOnlyShard1Missing(cluster_.Send(i % kNodes).answer);
    }
  }
}

// Guards against an answer with rows of a snapshot that was not requested.
TEST_F(ProcessTest, WrongSnapshotIsNeverMerged) {
  cluster_.ChangeShardBehaviour(1, {{"wrong_snapshot", true}});
  for (size_t i = 0; i < 2 * kNodes; ++i) {
    ExpectOnlyShard1Missing(cluster_.Send(i % kNodes).answer);
  }
}

// Guards against an answer that mixes two snapshots during a rolling update of
// the servers to a new index version.
TEST_F(ProcessTest, RollingUpdateKeepsOneSnapshot) {
  cluster_.StartLoad(4, {"--rates", "60", "20", "20"});
  for (size_t n = 0; n < kServers; ++n) {
    std::this_thread::sleep_for(milliseconds(200));
    cluster_.ChangeBehaviour(
        n, {{"layouts",
             {{{"layout_version", 1},
               {"shards", {"s" + std::to_string(n / kShards)}},
               {"index_versions", {1, 2}}}}}});
  }
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("complete"), load.sent) << load.output;
  EXPECT_EQ(cluster_.Send(0).answer.index_version(), 2U);
}

// Guards against a retry of a booking whose server closes the connection after
// reading it, also on reused connections.
TEST_F(ProcessTest, BookingRunsOnceOnServerThatCloses) {
  for (size_t n = 0; n < kServers; ++n) {
    cluster_.ChangeBehaviour(n, {{"close_after_read", true}});
  }
  for (uint64_t number = 0; number < 12; ++number) {
    const Query booking = MakeBooking(number);
    const Reply reply = cluster_.Send(number % kNodes, booking);
    EXPECT_EQ(reply.answer.status(), "outcome_unknown") << reply.body;
    EXPECT_EQ(cluster_.Executions()[booking.request_id], 1U);
  }
}

// Guards against a booking that runs again when the caller resends it, to the
// same node or another one.
TEST_F(ProcessTest, ResentBookingRunsOnce) {
  const Query booking = MakeBooking(1);
  EXPECT_EQ(cluster_.Send(0, booking).answer.status(), "complete");
  for (size_t i = 0; i < kNodes; ++i) {
    EXPECT_THAT(cluster_.Send(i, booking).answer.status(),
                AnyOf("complete", "outcome_unknown"));
  }
  EXPECT_EQ(cluster_.Executions()[booking.request_id], 1U);
}

// Guards against executions without a matching answer: under load each booking
// gets a complete answer and runs exactly once.
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

// Guards against a request that crashes one server after another: it may reach
// at most 3 servers, whatever the number of resends and nodes (design
// page, 1.8).
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

// Guards against new work for a draining server.
TEST_F(ProcessTest, DrainingServerGetsNoNewWork) {
  cluster_.StartLoad(5, {"--rates", "60", "20", "20"});
  std::this_thread::sleep_for(milliseconds(500));
  cluster_.ChangeBehaviour(4, {{"state", "draining"}});
  std::this_thread::sleep_for(seconds(2));
  const auto before = cluster_.Stats(4)["subqueries"].get<uint64_t>();
  const LoadResult load = cluster_.WaitForLoad();
  EXPECT_EQ(cluster_.Stats(4)["subqueries"].get<uint64_t>(), before);
  EXPECT_EQ(load.wrong, 0U) << load.output;
  EXPECT_EQ(load.Count("complete"), load.sent) << load.output;
}

// Guards against more connections to a server than its connection limit.
TEST_F(ProcessTest, ConnectionLimitIsKeptUnderLoad) {
  for (size_t n = 0; n < kServers; ++n) {
    cluster_.ChangeBehaviour(n, {{"service_time_ms", 20}});
  }
  cluster_.StartLoad(3, {"--rates", "200", "50", "50"});
  cluster_.WaitForLoad();
  for (size_t n = 0; n < kServers; ++n) {
    const auto stats = cluster_.Stats(n);
    EXPECT_LE(stats["connections_most_open"], 30) << "server " << n;
    EXPECT_EQ(stats["connections_refused"], 0) << "server " << n;
  }
}

// Guards against malformed input that crashes the process or keeps it from
// serving.
TEST_F(ProcessTest, MalformedInputDoesNotStopNode) {
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

// Guards against slow callers that block others.
TEST_F(ProcessTest, SlowCallersDoNotBlockOthers) {
  std::list<http::RawSocket> slow;
  for (int i = 0; i < 200; ++i) {
    slow.emplace_back(http::Connect(cluster_.node_port(0)))
        .Send("POST /v1/query/chairs HTTP/1.1\r\nContent-Length: 50\r\n\r\n{");
  }
  const SteadyTime start = std::chrono::steady_clock::now();
  EXPECT_EQ(cluster_.Send(0).answer.status(), "complete");
  EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(1));
}

// Guards against a body over the size limit that is accepted or gets no reply.
TEST_F(ProcessTest, LargeQueryIsRefusedWithReason) {
  Query query;
  query.text = std::string(100000, 'x');
  EXPECT_EQ(cluster_.Send(0, query).http_status, 413);
  query.text = std::string(20000, 'x');
  EXPECT_EQ(cluster_.Send(0, query).http_status, 400);
}

}  // namespace
}  // namespace gooseberryrock::process_test
