// Encoding, verification and decoding of frames.

#include "gooseberryrock/peer/frame.h"

#include <gtest/gtest.h>

#include <optional>

#include "gooseberryrock/peer/frame_error.h"

namespace gooseberryrock::peer {
namespace {

const FrameKey kKey = DeriveFrameKey("a cluster key");
const FrameExpectations kExpected{"salon", {"b"}, 2};

PeerFrame TestFrame() {
  return {"salon", 2, {"a"}, 7, 8, {"b"}, 9, FrameKind::kPeerHeartbeat, "body"};
}

std::optional<FrameFault> FaultOf(std::string_view bytes) {
  try {
    OpenFrame(bytes, kKey, kExpected);
  } catch (const FrameError& error) {
    return error.fault();
  }
  return std::nullopt;
}

TEST(FrameTest, SealedFrameOpensUnchanged) {
  EXPECT_EQ(OpenFrame(SealFrame(TestFrame(), kKey), kKey, kExpected),
            TestFrame());
}

// Guards against frames with a wrong key, cluster or protocol version that are
// accepted or reported with the wrong fault.
TEST(FrameTest, RefusesEachFaultByItsType) {
  const std::string good = SealFrame(TestFrame(), kKey);
  std::string changed = good;
  changed[3] ^= 1;
  EXPECT_EQ(FaultOf(changed), FrameFault::kWrongMac);
  EXPECT_EQ(FaultOf(SealFrame(TestFrame(), DeriveFrameKey("other"))),
            FrameFault::kWrongMac);
  EXPECT_EQ(FaultOf(good.substr(0, good.size() - 1)), FrameFault::kWrongMac);
  EXPECT_EQ(FaultOf(good.substr(0, 31)), FrameFault::kTruncated);
  EXPECT_EQ(FaultOf(""), FrameFault::kTruncated);
  EXPECT_EQ(FaultOf(std::string(kMaxFrameSize + 1, 'x')),
            FrameFault::kOversized);
  PeerFrame frame = TestFrame();
  frame.cluster = "parts";
  EXPECT_EQ(FaultOf(SealFrame(frame, kKey)), FrameFault::kOtherCluster);
  frame = TestFrame();
  frame.protocol_version = 1;
  EXPECT_EQ(FaultOf(SealFrame(frame, kKey)), FrameFault::kOldVersion);
  frame = TestFrame();
  frame.receiver = {"c"};
  EXPECT_EQ(FaultOf(SealFrame(frame, kKey)), FrameFault::kOtherReceiver);
  frame = TestFrame();
  frame.kind = static_cast<FrameKind>(kMaxFrameKind + 1);
  EXPECT_EQ(FaultOf(SealFrame(frame, kKey)), FrameFault::kMalformed);
  frame = TestFrame();
  frame.body.resize(kMaxFrameSize);
  EXPECT_THROW(SealFrame(frame, kKey), FrameError);
}

}  // namespace
}  // namespace gooseberryrock::peer
