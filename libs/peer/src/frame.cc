// Encoding and authentication of frames.

#include "gooseberryrock/peer/frame.h"

#include <sodium.h>

#include <tuple>
#include <utility>

#include "gooseberryrock/peer/frame_error.h"
#include "peer.pb.h"

namespace gooseberryrock::peer {

namespace {

constexpr size_t kMacSize = crypto_auth_BYTES;
static_assert(std::tuple_size_v<FrameKey> == crypto_auth_KEYBYTES);

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

PeerFrame FromMessage(proto::PeerFrame& message) {
  if (message.kind() == 0 || message.kind() > kMaxFrameKind ||
      message.sender().empty() || message.incarnation() == 0) {
    throw FrameError(FrameFault::kMalformed,
                     "a field of the frame is missing or out of range");
  }
  return {std::move(*message.mutable_cluster()),
          message.protocol_version(),
          {std::move(*message.mutable_sender())},
          message.incarnation(),
          message.sequence(),
          {std::move(*message.mutable_receiver())},
          message.receiver_incarnation(),
          static_cast<FrameKind>(message.kind()),
          std::move(*message.mutable_body())};
}

}  // namespace

FrameKey DeriveFrameKey(std::string_view cluster_key) {
  // Idempotent and thread-safe.
  if (sodium_init() < 0) {
    throw Error("libsodium cannot be initialised");
  }
  FrameKey key;
  crypto_generichash(key.data(), key.size(), Bytes(cluster_key),
                     cluster_key.size(), nullptr, 0);
  return key;
}

std::string SealFrame(const PeerFrame& frame, const FrameKey& key) {
  proto::PeerFrame message;
  message.set_cluster(frame.cluster);
  message.set_protocol_version(frame.protocol_version);
  message.set_sender(frame.sender.value);
  message.set_incarnation(frame.incarnation);
  message.set_sequence(frame.sequence);
  message.set_receiver(frame.receiver.value);
  message.set_receiver_incarnation(frame.receiver_incarnation);
  message.set_kind(static_cast<uint32_t>(frame.kind));
  message.set_body(frame.body);
  return SealBytes(message.SerializeAsString(), key);
}

std::string SealBytes(std::string bytes, const FrameKey& key) {
  const size_t size = bytes.size();
  if (size + kMacSize > kMaxFrameSize) {
    throw FrameError(FrameFault::kOversized, "the frame exceeds 4 MiB");
  }
  bytes.resize(size + kMacSize);
  auto* data = reinterpret_cast<unsigned char*>(bytes.data());
  crypto_auth(data + size, data, size, key.data());
  return bytes;
}

PeerFrame OpenFrame(std::string_view bytes,
                    const FrameKey& key,
                    const FrameExpectations& expected) {
  if (bytes.size() > kMaxFrameSize) {
    throw FrameError(FrameFault::kOversized, "the frame exceeds 4 MiB");
  }
  if (bytes.size() < kMacSize) {
    throw FrameError(FrameFault::kTruncated, "the frame is shorter than a MAC");
  }
  const size_t size = bytes.size() - kMacSize;
  if (crypto_auth_verify(Bytes(bytes) + size, Bytes(bytes), size, key.data()) !=
      0) {
    throw FrameError(FrameFault::kWrongMac, "the frame has a wrong MAC");
  }
  proto::PeerFrame message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(size))) {
    throw FrameError(FrameFault::kMalformed, "the frame cannot be parsed");
  }
  if (message.cluster() != expected.cluster) {
    throw FrameError(FrameFault::kOtherCluster,
                     "the frame is from another cluster");
  }
  if (message.protocol_version() < expected.oldest_version) {
    throw FrameError(FrameFault::kOldVersion,
                     "the frame has an older protocol version");
  }
  if (message.receiver() != expected.receiver.value) {
    throw FrameError(FrameFault::kOtherReceiver,
                     "the frame is for another node");
  }
  return FromMessage(message);
}

}  // namespace gooseberryrock::peer
