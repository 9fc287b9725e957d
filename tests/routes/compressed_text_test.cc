// Tests the compression of the route configuration text.

#include <gtest/gtest.h>

#include <string>

#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"

namespace gooseberryrock::routes {
namespace {

// Guards against altering the text, including a text that is larger than the
// initial buffer.
TEST(CompressedTextTest, RoundTrip) {
  for (const std::string& text :
       {std::string(), std::string("{}"), std::string(1000000, 'x')}) {
    EXPECT_EQ(DecompressText(CompressText(text)), text);
  }
}

// Guards against accepting a corrupt log entry or message.
TEST(CompressedTextTest, CorruptDataIsReported) {
  std::string compressed = CompressText("some text that is long enough");
  EXPECT_THROW(DecompressText("not compressed"), RouteError);
  EXPECT_THROW(DecompressText(compressed.substr(0, compressed.size() / 2)),
               RouteError);
  compressed.back() = static_cast<char>(compressed.back() + 1);
  EXPECT_THROW(DecompressText(compressed), RouteError);
}

// Guards against a small message that exhausts memory when decompressed.
TEST(CompressedTextTest, SizeIsLimited) {
  EXPECT_THROW(
      DecompressText(CompressText(std::string(kMaxTextBytes + 1, 'x'))),
      RouteError);
}

}  // namespace
}  // namespace gooseberryrock::routes
