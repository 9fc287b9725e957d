// Tests the messages of allotments.

#include "gooseberryrock/proto/convert_allotments.h"

#include <gtest/gtest.h>

#include <limits>

#include "gooseberryrock/allotments/allotment_grant.h"
#include "gooseberryrock/allotments/allotment_report.h"
#include "gooseberryrock/allotments/allotment_totals.h"
#include "gooseberryrock/proto/malformed_message_error.h"
#include "peer.pb.h"

namespace gooseberryrock::proto {
namespace {

// Guards against counts, grants or tokens that are lost or mixed up on the way.
TEST(ConvertAllotmentsTest, MessagesAreReadAsWritten) {
  allotments::AllotmentReport report;
  report.number = 7;
  report.counts[5] = {{4, 3}, {2, 1}};
  const auto read_report = FromMessage(ToMessage(report));
  EXPECT_EQ(read_report.number, 7U);
  EXPECT_EQ(read_report.counts.at(5).now, (allotments::RequestCounts{4, 3}));
  EXPECT_EQ(read_report.counts.at(5).acknowledged,
            (allotments::RequestCounts{2, 1}));

  allotments::AllotmentGrant grant;
  grant.nodes = 62;
  grant.organisations[5] = {0.25, 40};
  grant.organisations[6] = {1, 0};
  const auto read_grant = FromMessage(ToMessage(grant));
  EXPECT_EQ(read_grant.nodes, 62U);
  EXPECT_EQ(read_grant.organisations.at(5).fraction, 0.25);
  EXPECT_EQ(read_grant.organisations.at(5).demand, 40);
  EXPECT_EQ(read_grant.organisations.at(6).fraction, 1);

  allotments::AllotmentTotals totals;
  totals.is_granting = true;
  totals.is_complete = true;
  totals.organisations[5] = {{9, 8}, -2.5};
  totals.organisations[6] = {{1, 1}, std::nullopt};
  const auto read_totals = FromMessage(ToMessage(totals));
  EXPECT_TRUE(read_totals.is_granting);
  EXPECT_TRUE(read_totals.is_complete);
  EXPECT_EQ(read_totals.organisations.at(5).counts.admitted, 8U);
  EXPECT_EQ(read_totals.organisations.at(5).tokens, -2.5);
  EXPECT_FALSE(read_totals.organisations.at(6).tokens);
}

// Guards against numbers of a faulty sender that reach the arithmetic.
TEST(ConvertAllotmentsTest, NumbersOutOfRangeAreRefused) {
  const float nan = std::numeric_limits<float>::quiet_NaN();
  for (const float refused : {nan, -0.1F, 1.1F}) {
    AllotmentGrant grant;
    grant.add_organisations()->set_refused(refused);
    EXPECT_THROW(FromMessage(grant), MalformedMessageError);
  }
  AllotmentGrant grant;
  grant.add_organisations()->set_demand(nan);
  EXPECT_THROW(FromMessage(grant), MalformedMessageError);
  AllotmentTotals totals;
  totals.add_organisations()->set_tokens(nan);
  EXPECT_THROW(FromMessage(totals), MalformedMessageError);
}

}  // namespace
}  // namespace gooseberryrock::proto
