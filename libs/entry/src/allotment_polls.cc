// Exchanges the allotments of organisations with control VMs by polls.

#include "allotment_polls.h"

#include <chrono>

#include "gooseberryrock/allotments/shared_node_allotments.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/proto/convert_allotments.h"
#include "peer.pb.h"

namespace gooseberryrock::entry {

bool AddReport(allotments::SharedNodeAllotments& node, proto::EntryPoll& poll) {
  const auto report = node.MakeReport();
  if (!report) {
    return false;
  }
  *poll.mutable_allotments() = proto::ToMessage(*report);
  poll.mutable_allotments()->set_sent_us(poll.sent_us());
  return true;
}

void ReadGrant(allotments::SharedNodeAllotments& node,
               const proto::EntryPollReply& reply) {
  if (!reply.has_allotments()) {
    return;
  }
  const proto::AllotmentReply& allotments = reply.allotments();
  node.Acknowledge(allotments.number());
  if (allotments.has_grant()) {
    node.Apply(proto::FromMessage(allotments.grant()),
               SteadyTime(std::chrono::microseconds(allotments.sent_us())));
  }
}

}  // namespace gooseberryrock::entry
