// Tests the differences that lead nodes to the newest route configuration.

#include "gooseberryrock/routes/recent_texts.h"

#include <gtest/gtest.h>

#include <string>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/text_difference.h"

namespace gooseberryrock::routes {
namespace {

std::string Text(uint64_t version) {
  std::string text;
  for (int i = 0; i < 500; ++i) {
    text += "service-" + std::to_string(i * i) + "\n";
  }
  return text + "version " + std::to_string(version);
}

RecentTexts MakeRecent(uint64_t versions) {
  RecentTexts recent;
  for (uint64_t i = 1; i <= versions; ++i) {
    KeepText(recent, i, CompressText(Text(i)));
  }
  return recent;
}

// Guards against differences that are computed for each node: 2,300 nodes poll
// within the 250 ms after a change.
TEST(RecentTextsTest, DifferenceIsComputedOncePerVersion) {
  RecentTexts recent = MakeRecent(3);
  for (int i = 0; i < 100; ++i) {
    const std::string* it = FindDifference(recent, 2, Hash64(Text(2)));
    ASSERT_NE(it, nullptr);
    EXPECT_EQ(ApplyTextDifference(Text(2), *it), Text(3));
    EXPECT_LT(it->size(), 60U);
  }
  EXPECT_EQ(recent.computed, 1U);
  EXPECT_EQ(NewestHash(recent), Hash64(Text(3)));
  KeepText(recent, 4, CompressText(Text(4)));
  EXPECT_EQ(
      ApplyTextDifference(Text(2), *FindDifference(recent, 2, Hash64(Text(2)))),
      Text(4));
  EXPECT_EQ(recent.computed, 2U);
}

// Guards against a difference that does not fit what the node has.
TEST(RecentTextsTest, WholeTextIsNeeded) {
  RecentTexts recent = MakeRecent(kMaxRecentTexts + 1);
  EXPECT_EQ(FindDifference(recent, 3, 0), nullptr);
  EXPECT_EQ(FindDifference(recent, 3, Hash64(Text(2))), nullptr);
  EXPECT_EQ(FindDifference(recent, 1, Hash64(Text(1))), nullptr);
  EXPECT_EQ(FindDifference(recent, 99, Hash64(Text(99))), nullptr);
  EXPECT_NE(FindDifference(recent, 3, Hash64(Text(3))), nullptr);
  EXPECT_EQ(recent.texts.size(), kMaxRecentTexts);
  // A difference between unlike texts is no smaller than the text.
  KeepText(recent, 9, CompressText("short"));
  EXPECT_EQ(FindDifference(recent, 5, Hash64(Text(5))), nullptr);
}

// Guards against a damaged stored document that ends the control VM.
TEST(RecentTextsTest, DamagedDocumentIsSentWhole) {
  RecentTexts recent = MakeRecent(2);
  KeepText(recent, 3, "damaged");
  EXPECT_EQ(FindDifference(recent, 2, Hash64(Text(2))), nullptr);
  EXPECT_EQ(NewestHash(recent), 0U);
  KeepText(recent, 2, CompressText(Text(2)));
  EXPECT_EQ(recent.texts.back().version, 3U);
}

}  // namespace
}  // namespace gooseberryrock::routes
