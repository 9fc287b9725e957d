// Tests the differences between texts of the route configuration.

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/routes/text_difference.h"

namespace gooseberryrock::routes {
namespace {

std::string RandomText(std::mt19937_64& random, size_t size) {
  std::string text;
  while (text.size() < size) {
    text += "{\"name\":\"s" + std::to_string(random() % 50) + "\"},\n";
  }
  return text;
}

// Guards against a difference that leads to another text, for changes at any
// place and of any size, on texts that repeat themselves.
TEST(TextDifferenceTest, RoundTripOfRandomChanges) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const std::string from = RandomText(random, random() % 4000);
    std::string to = from;
    for (uint64_t n = random() % 6; n > 0; --n) {
      const size_t at = to.empty() ? 0 : random() % to.size();
      to.replace(at, random() % 200, RandomText(random, random() % 200));
    }
    EXPECT_EQ(ApplyTextDifference(from, MakeTextDifference(from, to)), to)
        << "seed " << seed;
  }
}

// Guards against errors at the ends of the texts.
TEST(TextDifferenceTest, RoundTripOfSmallTexts) {
  const std::string block(24, 'x');
  for (const std::string& from : {std::string(), std::string("a"), block}) {
    for (const std::string& to : {std::string(), std::string("b"), block,
                                  block + block, "b" + block, block + "b"}) {
      EXPECT_EQ(ApplyTextDifference(from, MakeTextDifference(from, to)), to);
    }
  }
}

// Guards against sending nearly the whole text after the change of one value.
TEST(TextDifferenceTest, SmallChangeGivesSmallDifference) {
  std::mt19937_64 random(1);
  const std::string from = RandomText(random, 40000);
  std::string to = from;
  to.replace(20000, 3, "changed");
  EXPECT_LT(MakeTextDifference(from, to).size() * 20, CompressText(to).size());
}

// Guards against reading outside the text, and against a difference that is
// cut off or damaged.
TEST(TextDifferenceTest, MalformedDifferencesAreReported) {
  const std::string from(1000, 'x');
  const std::string good = MakeTextDifference(from, from + "y");
  EXPECT_THROW(ApplyTextDifference(from.substr(500), good), RouteError);
  EXPECT_THROW(ApplyTextDifference(from, good.substr(0, good.size() / 2)),
               RouteError);
  for (const std::string& operations :
       {std::string(), std::string("\x05\x02"), std::string("\x05\x09yyy"),
        std::string("\x05\x00\x05", 3), std::string(20, '\xFF'),
        std::string("\x05\x00\x04\x00", 4)}) {
    EXPECT_THROW(ApplyTextDifference(from, CompressText(operations)),
                 RouteError);
  }
}

// Guards against damage that ends the process: any bytes as operations either
// give a text within the limit or are reported.
TEST(TextDifferenceTest, RandomOperationsAreSafe) {
  const std::string from(300, 'x');
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    std::string operations;
    for (uint64_t n = random() % 20; n > 0; --n) {
      operations.push_back(static_cast<char>(random() % 256));
    }
    try {
      EXPECT_LE(ApplyTextDifference(from, CompressText(operations)).size(),
                kMaxTextBytes);
    } catch (const RouteError&) {
      continue;
    }
  }
}

}  // namespace
}  // namespace gooseberryrock::routes
