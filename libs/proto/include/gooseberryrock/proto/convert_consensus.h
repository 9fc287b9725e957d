// Conversions between values of the replicated log and their messages.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_CONSENSUS_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_CONSENSUS_H_

#include <string>
#include <string_view>

namespace gooseberryrock::consensus {
struct HardState;
struct LogEntry;
struct Membership;
struct Message;
struct Snapshot;
}  // namespace gooseberryrock::consensus

namespace gooseberryrock::proto {

class ConsensusMessage;
class HardState;
class LogEntry;
class LogMembership;
class LogSnapshot;

ConsensusMessage ToMessage(const consensus::Message& message);
// Throws MalformedMessageError if the body or the kind of an entry is missing.
consensus::Message FromMessage(ConsensusMessage message);

LogEntry ToMessage(const consensus::LogEntry& entry);
// Throws MalformedMessageError if the kind is missing.
consensus::LogEntry FromMessage(LogEntry message);

HardState ToMessage(const consensus::HardState& hard_state);
consensus::HardState FromMessage(const HardState& message);

LogMembership ToMessage(const consensus::Membership& membership);
consensus::Membership FromMessage(const LogMembership& message);

LogSnapshot ToMessage(const consensus::Snapshot& snapshot);
consensus::Snapshot FromMessage(LogSnapshot message);

// The encoding is deterministic: equal memberships have equal encodings.
std::string EncodeMembership(const consensus::Membership& membership);
// Throws MalformedMessageError.
consensus::Membership DecodeMembership(std::string_view encoded);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_CONSENSUS_H_
