// Tests of the persistent server list.

#include "gooseberryrock/storage/server_list.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "gooseberryrock/directory/server_record.h"
#include "gooseberryrock/storage/damaged_file_error.h"
#include "gooseberryrock/storage/file_operations.h"

namespace gooseberryrock::storage {
namespace {

class ServerListTest : public testing::Test {
 protected:
  ServerListTest() : folder_(testing::TempDir() + "/server_list_test") {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    directory::ServerRecord record;
    record.id = {"a"};
    record.incarnation = 7;
    record.service = {"s"};
    record.failure_domain = {"d"};
    record.host = "10.0.0.1";
    record.port = 80;
    record.slots = 2;
    record.connection_limit = 1;
    record.owner = {"10.0.0.9"};
    record.owner_epoch = 1;
    records_.push_back(record);
  }
  ~ServerListTest() override { std::filesystem::remove_all(folder_); }

  const FileOperations files_ = PosixFileOperations();
  const std::string folder_;
  std::vector<directory::ServerRecord> records_;
};

// Guards against records that change when saved and loaded.
TEST_F(ServerListTest, IsReadBackAsItWasSaved) {
  EXPECT_TRUE(LoadServerList(files_, folder_).empty());
  SaveServerList(files_, folder_, records_);
  records_.front().incarnation = 8;
  SaveServerList(files_, folder_, records_);
  EXPECT_EQ(LoadServerList(files_, folder_), records_);
}

// Guards against a truncated list that is accepted as complete.
TEST_F(ServerListTest, DamagedListIsRefused) {
  SaveServerList(files_, folder_, records_);
  const std::string path = folder_ + "/servers";
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
  EXPECT_THROW(LoadServerList(files_, folder_), DamagedFileError);
}

}  // namespace
}  // namespace gooseberryrock::storage
