// Tests of the settings of entry nodes and control VMs.

#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <string>

#include "gooseberryrock/settings/settings_error.h"
#include "gooseberryrock/settings/tier_intervals.h"
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

// Guards against allotments that are enforced by other bounds than those of the
// deployment.
TEST_F(TierSettingsTest, AllotmentBoundsAreRead) {
  const TierSettings settings =
      Load(R"(, "allotment_window_s": 4, "allotment_overage": 0.2,)"
           R"( "allotment_slack": 7)");
  EXPECT_EQ(settings.allotment_window, std::chrono::seconds(4));
  EXPECT_EQ(settings.allotment_overage, 0.2);
  EXPECT_EQ(settings.allotment_slack, 7);
  EXPECT_EQ(Load("").allotment_window, std::chrono::seconds(5));
  EXPECT_THROW(Load(R"(, "allotment_overage": -1)"), SettingsError);
}

// Guards against a replacement time that the log cannot meet.
TEST_F(TierSettingsTest, TooShortReplacementTimeIsRefused) {
  EXPECT_THROW(Load(R"(, "replacement_time_s": 2)"), SettingsError);
}

// Guards against intervals that are longer than a bound which they have to
// meet: a change must reach a node although two polls are lost, and a server
// that left while all VMs were down must not be used for longer than the
// contact time.
TEST_F(TierSettingsTest, IntervalsMeetTheBounds) {
  for (const int ms : {500, 1000, 4000, 60'000}) {
    const Duration bound = std::chrono::milliseconds(ms);
    std::string fields;
    for (const char* key :
         {"contact_time_ms", "route_change_time_ms", "server_drain_time_ms"}) {
      fields.append(", \"").append(key).append("\": ");
      fields.append(std::to_string(ms));
    }
    const TierIntervals intervals = MakeTierIntervals(Load(fields));
    EXPECT_LT(intervals.remembered_servers_time +
                  intervals.remembered_server_lifetime,
              bound);
    EXPECT_LT(intervals.peer_heartbeat_timeout, bound);
    EXPECT_LT(intervals.poll_interval + intervals.poll_reply_timeout, bound);
    EXPECT_LT(intervals.poll_interval + intervals.route_adoption_delay, bound);
    EXPECT_EQ(intervals.route_confirmation_lifetime, Duration::zero());
    EXPECT_EQ(intervals.route_confirmation_interval, Duration::zero());
    const TierIntervals keys = MakeTierIntervals(
        Load(", \"key_revocation_time_ms\": " + std::to_string(ms)));
    EXPECT_LT(keys.route_confirmation_lifetime, bound);
    EXPECT_LT(keys.route_confirmation_interval * 4,
              keys.route_confirmation_lifetime);
  }
}

// Guards against a change of the intervals in the current deployments, whose
// traffic they were chosen for.
TEST_F(TierSettingsTest, IntervalsOfTheDefaultBounds) {
  const TierIntervals intervals = MakeTierIntervals(Load(""));
  using std::chrono::milliseconds;
  EXPECT_EQ(intervals.poll_interval, milliseconds(250));
  EXPECT_EQ(intervals.poll_reply_timeout, milliseconds(750));
  EXPECT_EQ(intervals.remembered_servers_time, milliseconds(1200));
  EXPECT_EQ(intervals.remembered_server_lifetime, milliseconds(2500));
  EXPECT_EQ(intervals.peer_heartbeat_timeout, milliseconds(1500));
  EXPECT_EQ(intervals.control_drain_time, milliseconds(2000));
  EXPECT_EQ(intervals.route_adoption_delay, milliseconds(625));
}

// Guards against a gather port that the peer socket already uses or that does
// not exist, and against passing requests on where no port is named.
TEST_F(TierSettingsTest, GatherPortIsChecked) {
  EXPECT_EQ(Load("").gather_port, 0);
  EXPECT_EQ(Load(R"(, "gather_port": 7002)").gather_port, 7002);
  EXPECT_THROW(Load(R"(, "gather_port": 7000)"), SettingsError);
  EXPECT_THROW(Load(R"(, "gather_port": 65536)"), SettingsError);
  EXPECT_THROW(Load(R"(, "gather_port": -1)"), SettingsError);
}

}  // namespace
}  // namespace gooseberryrock::settings
