// Mutation fuzzing of OpenFrame and of the decoders of frame bodies.

#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "gooseberryrock/claims/crash_history.h"
#include "gooseberryrock/claims/crash_suspects.h"
#include "gooseberryrock/directory/directory.h"
#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/peer/frame.h"
#include "gooseberryrock/peer/frame_error.h"
#include "gooseberryrock/proto/convert_claims.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "peer.pb.h"

namespace gooseberryrock::peer {
namespace {

constexpr int kInputs = 200000;
const FrameKey kKey = DeriveFrameKey("a cluster key");
const FrameExpectations kExpected{"salon", {"b"}, 1};

std::string Mutate(std::string bytes, std::mt19937_64& rng) {
  for (uint64_t n = 1 + rng() % 4; n > 0; --n) {
    const size_t at = bytes.empty() ? 0 : rng() % bytes.size();
    switch (rng() % 4) {
      case 0:
        bytes.insert(at, 1, static_cast<char>(rng()));
        break;
      case 1:
        bytes.resize(at);
        break;
      case 2:
        bytes.insert(at, bytes.substr(at / 2, rng() % 64));
        break;
      default:
        if (!bytes.empty()) {
          bytes[at] = static_cast<char>(rng());
        }
    }
  }
  return bytes;
}

// Guards against frames that crash the process or are accepted without a valid
// MAC.
TEST(DecoderFuzzTest, OpenFrameAlwaysRefusesByType) {
  std::mt19937_64 rng(11);
  const PeerFrame frame{
      "salon", 1, {"a"}, 7, 8, {"b"}, 9, FrameKind::kConsensus, "some body"};
  const std::string good = SealFrame(frame, kKey);
  std::array<int, kFrameFaultCount> refused{};
  int unchanged = 0;
  for (int n = 0; n < kInputs; ++n) {
    const std::string bytes = Mutate(good, rng);
    try {
      ASSERT_EQ(OpenFrame(bytes, kKey, kExpected), frame);
      ASSERT_EQ(bytes, good);
      ++unchanged;
    } catch (const FrameError& error) {
      ++refused[static_cast<size_t>(error.fault())];
    }
  }
  std::printf("inputs=%d seed=11 unchanged=%d", kInputs, unchanged);
  for (size_t n = 0; n < refused.size(); ++n) {
    std::printf(" %s=%d",
                std::string(FrameFaultName(static_cast<FrameFault>(n))).c_str(),
                refused[n]);
  }
  std::printf("\n");
}

// The same for frames with a valid MAC, as a faulty cluster node may send them.
TEST(DecoderFuzzTest, SealedGarbageIsRefusedByType) {
  google::protobuf::SetLogHandler(nullptr);
  std::mt19937_64 rng(12);
  proto::PeerFrame message;
  message.set_cluster("salon");
  message.set_protocol_version(1);
  message.set_sender("a");
  message.set_incarnation(1);
  message.set_receiver("b");
  message.set_kind(1);
  const std::string good = message.SerializeAsString();
  int opened = 0;
  for (int n = 0; n < kInputs; ++n) {
    const std::string sealed = SealBytes(Mutate(good, rng), kKey);
    try {
      OpenFrame(sealed, kKey, kExpected);
      ++opened;
    } catch (const FrameError&) {
    }
  }
  std::printf("inputs=%d seed=12 opened=%d\n", kInputs, opened);
}

template <typename Message>
void FuzzBody(const Message& good, uint64_t seed) {
  std::mt19937_64 rng(seed);
  const std::string bytes = good.SerializeAsString();
  int decoded = 0;
  int refused = 0;
  for (int n = 0; n < kInputs / 10; ++n) {
    Message message;
    if (!message.ParseFromString(Mutate(bytes, rng))) {
      ++refused;
      continue;
    }
    try {
      proto::FromMessage(message);
      ++decoded;
    } catch (const proto::MalformedMessageError&) {
      ++refused;
    }
  }
  EXPECT_GT(refused, 0);
  std::printf("%s inputs=%d seed=%d decoded=%d refused=%d\n",
              good.GetTypeName().c_str(), kInputs / 10, static_cast<int>(seed),
              decoded, refused);
}

// Guards against frame bodies that crash the process or are rejected with an
// exception that the peer thread does not handle.
TEST(DecoderFuzzTest, BodiesAreDecodedOrRefusedByType) {
  google::protobuf::SetLogHandler(nullptr);
  directory::ServerRecord record;
  record.id.value = "server-1";
  record.incarnation = 1;
  record.service.value = "chairs";
  record.failure_domain.value = "x";
  record.host = "127.0.0.1";
  record.port = 80;
  record.replicas = {{1, {"s0"}, {4, 5}}};
  record.labels = {{"a", "b"}};
  record.owner.value = "a";
  record.owner_epoch = 1;
  FuzzBody(proto::ToMessage(record), 21);
  FuzzBody(proto::ToMessage(directory::DirectoryDelta{1, 2, {record}}), 22);
  directory::DirectoryDigest digest{
      1, std::vector<uint64_t>(directory::kDigestGroups, 2), {}};
  digest.leaves[3].resize(directory::kLeavesPerGroup);
  FuzzBody(proto::ToMessage(digest), 23);
  FuzzBody(proto::ToMessage(
               directory::DirectoryPull{5, {1, 4000}, {{{"1"}, 9}}, true}),
           24);
  const claims::ClaimHolder holder{{"a"}, 1, 2};
  FuzzBody(proto::ToMessage(claims::ClaimEntry{{"1-x"}, 3, holder, {}}), 25);
  FuzzBody(proto::ToMessage(claims::OutcomeEntry{{"1-x"}, holder, "ok", {}}),
           26);
  FuzzBody(proto::ToMessage(claims::ReleaseEntry{{"1-x"}, holder, {}}), 27);
  FuzzBody(proto::ToMessage(claims::ClaimResult{
               claims::ClaimStatus::kAlreadyClaimed, holder, "ok"}),
           28);
  FuzzBody(proto::ToMessage(claims::RecordStatus::kNotHolder), 29);
  FuzzBody(proto::ToMessage(claims::CrashSuspicion{
               1, {{{{"server-1"}, 2}, {true, false}}}, false, {}, {"a"}}),
           30);
}

// The same for the records of crashes in polls and their replies. Also guards
// against a record that reaches the other node changed.
TEST(DecoderFuzzTest, CrashNoticesAreDecodedOrRefusedByType) {
  google::protobuf::SetLogHandler(nullptr);
  const std::vector<claims::CrashNotice> notices = {
      {1,
       {2, 3},
       {4},
       std::chrono::milliseconds(5),
       std::chrono::milliseconds(6)},
      {7, {}, {8}, Duration::zero(), Duration::zero()}};
  proto::EntryPoll good;
  proto::AddCrashNotices(notices, *good.mutable_crashes());
  EXPECT_EQ(proto::ReadCrashNotices(good.crashes()), notices);
  std::mt19937_64 rng(31);
  const std::string bytes = good.SerializeAsString();
  for (int n = 0; n < kInputs / 10; ++n) {
    proto::EntryPoll message;
    if (message.ParseFromString(Mutate(bytes, rng))) {
      try {
        proto::ReadCrashNotices(message.crashes());
      } catch (const proto::MalformedMessageError&) {
      }
    }
  }
  for (size_t i = 0; i < claims::kMaxCrashIds; ++i) {
    good.mutable_crashes(0)->add_cleared(i);
  }
  EXPECT_THROW(proto::ReadCrashNotices(good.crashes()),
               proto::MalformedMessageError);
}

}  // namespace
}  // namespace gooseberryrock::peer
