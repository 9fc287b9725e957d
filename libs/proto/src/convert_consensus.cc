// Conversions between values of the replicated log and their messages.

#include "gooseberryrock/proto/convert_consensus.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <utility>

#include "consensus.pb.h"
#include "gooseberryrock/consensus/log_entry.h"
#include "gooseberryrock/consensus/message.h"
#include "gooseberryrock/proto/malformed_message_error.h"

namespace gooseberryrock::proto {

namespace {

LogPosition ToMessage(const consensus::Position& position) {
  LogPosition message;
  message.set_term(position.term);
  message.set_index(position.index);
  return message;
}

consensus::Position FromMessage(const LogPosition& message) {
  return {message.term(), message.index()};
}

LogAcknowledgement ToMessage(const consensus::Acknowledgement& acknowledged) {
  LogAcknowledgement message;
  message.set_term(acknowledged.term);
  message.set_index(acknowledged.index);
  return message;
}

consensus::Acknowledgement FromMessage(const LogAcknowledgement& message) {
  return {message.term(), message.index()};
}

LogEntryKind ToMessage(consensus::EntryKind kind) {
  switch (kind) {
    case consensus::EntryKind::kNoOp:
      return NO_OP;
    case consensus::EntryKind::kCommand:
      return COMMAND;
    case consensus::EntryKind::kMembership:
      return MEMBERSHIP;
  }
  return LOG_ENTRY_KIND_UNSPECIFIED;
}

consensus::EntryKind FromMessage(LogEntryKind kind) {
  switch (kind) {
    case NO_OP:
      return consensus::EntryKind::kNoOp;
    case COMMAND:
      return consensus::EntryKind::kCommand;
    case MEMBERSHIP:
      return consensus::EntryKind::kMembership;
    default:
      throw MalformedMessageError("log entry has an unknown kind");
  }
}

void SetBody(const consensus::VoteRequest& body, ConsensusMessage& message) {
  auto& it = *message.mutable_vote_request();
  it.set_pre_vote(body.pre_vote);
  it.set_leadership_transfer(body.leadership_transfer);
  *it.mutable_last() = ToMessage(body.last);
  *it.mutable_acknowledged() = ToMessage(body.acknowledged);
  *it.mutable_known() = ToMessage(body.known);
}

consensus::MessageBody FromBody(const VoteRequest& message) {
  return consensus::VoteRequest{
      message.pre_vote(), message.leadership_transfer(),
      FromMessage(message.last()), FromMessage(message.acknowledged()),
      FromMessage(message.known())};
}

void SetBody(const consensus::VoteReply& body, ConsensusMessage& message) {
  auto& it = *message.mutable_vote_reply();
  it.set_pre_vote(body.pre_vote);
  it.set_granted(body.granted);
  it.set_requested_term(body.requested_term);
  *it.mutable_acknowledged() = ToMessage(body.acknowledged);
  *it.mutable_known() = ToMessage(body.known);
}

consensus::MessageBody FromBody(const VoteReply& message) {
  return consensus::VoteReply{
      message.pre_vote(), message.granted(), message.requested_term(),
      FromMessage(message.acknowledged()), FromMessage(message.known())};
}

void SetBody(const consensus::AppendRequest& body, ConsensusMessage& message) {
  auto& it = *message.mutable_append_request();
  *it.mutable_previous() = ToMessage(body.previous);
  for (const auto& entry : body.entries) {
    *it.add_entries() = proto::ToMessage(entry);
  }
  it.set_commit_index(body.commit_index);
  it.set_round(body.round);
  for (const auto& [storage_id, acknowledged] : body.acknowledged) {
    auto& item = *it.add_acknowledged();
    item.set_storage_id(storage_id);
    *item.mutable_acknowledged() = ToMessage(acknowledged);
  }
}

consensus::MessageBody FromBody(AppendRequest& message) {
  consensus::AppendRequest body;
  body.previous = FromMessage(message.previous());
  for (auto& entry : *message.mutable_entries()) {
    body.entries.push_back(proto::FromMessage(std::move(entry)));
  }
  body.commit_index = message.commit_index();
  body.round = message.round();
  for (const auto& item : message.acknowledged()) {
    body.acknowledged[item.storage_id()] = FromMessage(item.acknowledged());
  }
  return body;
}

void SetBody(const consensus::AppendReply& body, ConsensusMessage& message) {
  auto& it = *message.mutable_append_reply();
  it.set_accepted(body.accepted);
  it.set_index(body.index);
  it.set_round(body.round);
}

consensus::MessageBody FromBody(const AppendReply& message) {
  return consensus::AppendReply{message.accepted(), message.index(),
                                message.round()};
}

void SetBody(const consensus::SnapshotRequest& body,
             ConsensusMessage& message) {
  auto& it = *message.mutable_snapshot_request();
  *it.mutable_last() = ToMessage(body.last);
  *it.mutable_membership() = proto::ToMessage(body.membership);
  it.set_offset(body.offset);
  it.set_total_size(body.total_size);
  it.set_chunk(body.chunk);
  it.set_round(body.round);
}

consensus::MessageBody FromBody(SnapshotRequest& message) {
  return consensus::SnapshotRequest{FromMessage(message.last()),
                                    proto::FromMessage(message.membership()),
                                    message.offset(),
                                    message.total_size(),
                                    std::move(*message.mutable_chunk()),
                                    message.round()};
}

void SetBody(const consensus::SnapshotReply& body, ConsensusMessage& message) {
  auto& it = *message.mutable_snapshot_reply();
  *it.mutable_last() = ToMessage(body.last);
  it.set_next_offset(body.next_offset);
  it.set_installed(body.installed);
  it.set_round(body.round);
}

consensus::MessageBody FromBody(const SnapshotReply& message) {
  return consensus::SnapshotReply{FromMessage(message.last()),
                                  message.next_offset(), message.installed(),
                                  message.round()};
}

void SetBody(const consensus::TimeoutNow& /*body*/, ConsensusMessage& message) {
  message.mutable_timeout_now();
}

consensus::MessageBody FromBody(ConsensusMessage& message) {
  switch (message.body_case()) {
    case ConsensusMessage::kVoteRequest:
      return FromBody(message.vote_request());
    case ConsensusMessage::kVoteReply:
      return FromBody(message.vote_reply());
    case ConsensusMessage::kAppendRequest:
      return FromBody(*message.mutable_append_request());
    case ConsensusMessage::kAppendReply:
      return FromBody(message.append_reply());
    case ConsensusMessage::kSnapshotRequest:
      return FromBody(*message.mutable_snapshot_request());
    case ConsensusMessage::kSnapshotReply:
      return FromBody(message.snapshot_reply());
    case ConsensusMessage::kTimeoutNow:
      return consensus::TimeoutNow{};
    case ConsensusMessage::BODY_NOT_SET:
      break;
  }
  throw MalformedMessageError("consensus message has no body");
}

}  // namespace

ConsensusMessage ToMessage(const consensus::Message& message) {
  ConsensusMessage result;
  result.set_from(message.from.value);
  result.set_to(message.to.value);
  result.set_term(message.term);
  result.set_from_storage_id(message.from_storage_id);
  result.set_to_storage_id(message.to_storage_id);
  result.set_from_suspended(message.from_suspended);
  std::visit([&](const auto& body) { SetBody(body, result); }, message.body);
  return result;
}

consensus::Message FromMessage(ConsensusMessage message) {
  consensus::Message result;
  result.from.value = message.from();
  result.to.value = message.to();
  result.term = message.term();
  result.from_storage_id = message.from_storage_id();
  result.to_storage_id = message.to_storage_id();
  result.from_suspended = message.from_suspended();
  result.body = FromBody(message);
  return result;
}

LogEntry ToMessage(const consensus::LogEntry& entry) {
  LogEntry message;
  *message.mutable_position() = ToMessage(entry.position);
  message.set_kind(ToMessage(entry.kind));
  message.set_payload(entry.payload);
  if (entry.kind == consensus::EntryKind::kMembership) {
    *message.mutable_membership() = ToMessage(entry.membership);
  }
  return message;
}

consensus::LogEntry FromMessage(LogEntry message) {
  consensus::LogEntry entry;
  entry.position = FromMessage(message.position());
  entry.kind = FromMessage(message.kind());
  entry.payload = std::move(*message.mutable_payload());
  entry.membership = FromMessage(message.membership());
  return entry;
}

HardState ToMessage(const consensus::HardState& hard_state) {
  HardState message;
  message.set_term(hard_state.term);
  message.set_voted_for(hard_state.voted_for.value);
  *message.mutable_acknowledged() = ToMessage(hard_state.acknowledged);
  message.set_suspended(hard_state.suspended);
  message.set_commit_index(hard_state.commit_index);
  return message;
}

consensus::HardState FromMessage(const HardState& message) {
  consensus::HardState hard_state;
  hard_state.term = message.term();
  hard_state.voted_for.value = message.voted_for();
  hard_state.acknowledged = FromMessage(message.acknowledged());
  hard_state.suspended = message.suspended();
  hard_state.commit_index = message.commit_index();
  return hard_state;
}

LogMembership ToMessage(const consensus::Membership& membership) {
  LogMembership message;
  for (const auto& [node, member] : membership.members) {
    auto& it = *message.add_members();
    it.set_node(node.value);
    it.set_storage_id(member.storage_id);
    it.set_peer_address(member.peer_address);
    it.set_voter(member.voter);
  }
  return message;
}

consensus::Membership FromMessage(const LogMembership& message) {
  consensus::Membership membership;
  for (const auto& it : message.members()) {
    membership.members[NodeId{it.node()}] = {it.storage_id(), it.peer_address(),
                                             it.voter()};
  }
  return membership;
}

LogSnapshot ToMessage(const consensus::Snapshot& snapshot) {
  LogSnapshot message;
  *message.mutable_last() = ToMessage(snapshot.last);
  *message.mutable_membership() = ToMessage(snapshot.membership);
  message.set_data(snapshot.data);
  return message;
}

consensus::Snapshot FromMessage(LogSnapshot message) {
  return {FromMessage(message.last()), proto::FromMessage(message.membership()),
          std::move(*message.mutable_data())};
}

std::string EncodeMembership(const consensus::Membership& membership) {
  std::string encoded;
  google::protobuf::io::StringOutputStream stream(&encoded);
  google::protobuf::io::CodedOutputStream coded(&stream);
  coded.SetSerializationDeterministic(true);
  ToMessage(membership).SerializeToCodedStream(&coded);
  coded.Trim();
  return encoded;
}

consensus::Membership DecodeMembership(std::string_view encoded) {
  LogMembership message;
  if (!message.ParseFromArray(encoded.data(),
                              static_cast<int>(encoded.size()))) {
    throw MalformedMessageError("encoded membership is corrupt");
  }
  return FromMessage(message);
}

}  // namespace gooseberryrock::proto
