// Tests reading of directory records that other nodes send.

#include <gtest/gtest.h>

#include "gooseberryrock/directory/directory_exchange.h"
#include "gooseberryrock/proto/convert_directory.h"
#include "peer.pb.h"

namespace gooseberryrock::proto {
namespace {

directory::ServerRecord Record(const std::string& id) {
  directory::ServerRecord record;
  record.id = {id};
  record.incarnation = 1;
  record.service = {"s"};
  record.failure_domain = {"a"};
  record.host = "10.0.0.1";
  record.port = 80;
  record.owner = {"c1"};
  record.owner_epoch = 1;
  return record;
}

// Guards against one record that another writer left and for which the whole
// message is refused, so that the node learns of no other server any more.
TEST(ConvertDirectoryTest, MalformedRecordsAreLeftOut) {
  directory::DirectoryDelta sent{
      3, 6, {Record("a"), Record("x:y"), Record("b")}};
  sent.records.push_back(Record("c"));
  sent.records.back().port = 0;
  const directory::DirectoryDelta received = FromMessage(ToMessage(sent));
  EXPECT_EQ(received.from, 3U);
  EXPECT_EQ(received.to, 6U);
  EXPECT_EQ(received.malformed_records, 2U);
  ASSERT_EQ(received.records.size(), 2U);
  EXPECT_EQ(received.records[0].id.value, "a");
  EXPECT_EQ(received.records[1].id.value, "b");
}

}  // namespace
}  // namespace gooseberryrock::proto
