// Conversions between updates of the list of entry nodes and their messages.

#ifndef GOOSEBERRYROCK_PROTO_CONVERT_NODE_LIST_H_
#define GOOSEBERRYROCK_PROTO_CONVERT_NODE_LIST_H_

#include <cstdint>
#include <optional>

#include "gooseberryrock/node_list/node_list_log.h"
#include "gooseberryrock/node_list/node_list_update.h"

namespace gooseberryrock::node_list {
struct FollowedNodeList;
}  // namespace gooseberryrock::node_list

namespace gooseberryrock::proto {

class ControlHello;
class EntryPoll;
class EntryPollReply;

// A poll names the list that the entry node has; `incarnation` is that of the
// control VM that reads it.
void SetKnownNodeList(const node_list::FollowedNodeList& known,
                      EntryPoll& poll);
node_list::KnownNodeList ReadKnownNodeList(const EntryPoll& poll,
                                           uint64_t incarnation);

// A hello names the list that its sender has of the receiver.
void SetKnownNodeList(const node_list::FollowedNodeList& known,
                      ControlHello& hello);
node_list::KnownNodeList ReadKnownNodeList(const ControlHello& hello,
                                           uint64_t incarnation);

void SetNodeListUpdate(const node_list::NodeListUpdate& update,
                       EntryPollReply& reply);
void SetNodeListUpdate(const node_list::NodeListUpdate& update,
                       ControlHello& hello);

// Return nullopt if the sender does not know its list yet. A sender of an
// earlier release names no version and sends no digest of this kind; its whole
// list is taken as it is.
std::optional<node_list::NodeListUpdate> ReadNodeListUpdate(
    const EntryPollReply& reply);
node_list::NodeListUpdate ReadNodeListUpdate(const ControlHello& hello);

}  // namespace gooseberryrock::proto

#endif  // GOOSEBERRYROCK_PROTO_CONVERT_NODE_LIST_H_
