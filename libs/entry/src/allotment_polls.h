// Exchanges the allotments of organisations with control VMs by polls.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_ALLOTMENT_POLLS_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_ALLOTMENT_POLLS_H_

namespace gooseberryrock::allotments {
class SharedNodeAllotments;
}  // namespace gooseberryrock::allotments

namespace gooseberryrock::proto {
class EntryPoll;
class EntryPollReply;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::entry {

// Adds the report of the node to a poll with the time at which it is sent.
// Returns false while no organisation has an allotment.
bool AddReport(allotments::SharedNodeAllotments& node, proto::EntryPoll& poll);

// Throws MalformedMessageError.
void ReadGrant(allotments::SharedNodeAllotments& node,
               const proto::EntryPollReply& reply);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_ALLOTMENT_POLLS_H_
