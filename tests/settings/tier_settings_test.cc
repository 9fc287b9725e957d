// Tests of the settings of entry nodes and control VMs.

#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <string>

#include "gooseberryrock/settings/settings_error.h"
#include "gooseberryrock/settings/tier_settings.h"

namespace gooseberryrock::settings {
namespace {

class TierSettingsTest : public testing::Test {
 protected:
  // Returns the settings of a control VM with `fields` added.
  TierSettings Load(const std::string& fields) const {
    const std::string path = testing::TempDir() + "tier_settings.json";
    std::ofstream(path) << R"({"cluster": "tier",
      "cluster_key": "0123456789012345678901234567890123456789",
      "name": "c1", "address": "10.0.0.1", "failure_domain": "a",
      "peer_port": 7000, "control_vms": ["10.0.0.1:7001"],
      "data_folder": "/tmp/c1", "control_address": "10.0.0.1:7001")"
                        << fields << "}";
    return LoadTierSettings(path, TierRole::kControl);
  }
};

// Guards against a bound of the deployment that does not reach the intervals
// which have to meet it.
TEST_F(TierSettingsTest, ReplacementTimeIsRead) {
  EXPECT_EQ(Load("").replacement_time, std::chrono::seconds(4));
  EXPECT_EQ(Load(R"(, "replacement_time_s": 7.5)").replacement_time,
            std::chrono::milliseconds(7500));
}

// Guards against a replacement time that the log cannot meet.
TEST_F(TierSettingsTest, TooShortReplacementTimeIsRefused) {
  EXPECT_THROW(Load(R"(, "replacement_time_s": 2)"), SettingsError);
}

}  // namespace
}  // namespace gooseberryrock::settings
