// Division of the requests to a cold server among the entry nodes.

#include "cold_part.h"

#include <gtest/gtest.h>

#include "gooseberryrock/relay/cold_limit.h"

namespace gooseberryrock::entry {
namespace {

// Guards against entry nodes that together send more than the rule for cold
// servers allows, because each of them may send at least one request.
TEST(ColdPartTest, PartsAddUpToTheBurst) {
  const directory::Reservation firm_a = {
      {{"a"}, 16}, {{"b"}, 16}, {{"c"}, 15}, {{"d"}, 15}};
  const directory::Reservation few = {{{"a"}, 2}, {{"b"}, 1}};
  for (const directory::Reservation& nodes : {firm_a, few}) {
    for (const unsigned shards : {1U, 3U}) {
      for (const double rate : {0.1, 4.0, 10.0, 700.0}) {
        for (uint64_t rotation = 0; rotation < 20; ++rotation) {
          const uint32_t burst = relay::ColdBurst(rate);
          uint32_t sum = 0;
          for (const auto& [domain, n] : nodes) {
            for (uint32_t i = 0; i < n * shards; ++i) {
              sum += ColdPart(burst, nodes, {domain, i / shards},
                              {shards, i % shards}, {"b"}, rotation);
            }
          }
          EXPECT_EQ(sum, burst) << rate << " " << shards;
        }
      }
    }
  }
}

// Guards against cold servers that are used from other failure domains while
// the nodes of their own have no part.
TEST(ColdPartTest, NodesOfTheServersDomainComeFirst) {
  const directory::Reservation nodes = {{{"a"}, 9}, {{"b"}, 9}};
  uint32_t outside = 0;
  for (uint32_t i = 0; i < 9; ++i) {
    outside += ColdPart(4, nodes, {{"a"}, i}, {}, {"b"}, 5);
  }
  EXPECT_EQ(outside, 0U);
}

// Guards against a node that has just started and takes a part before it knows
// the other nodes.
TEST(ColdPartTest, UnknownNodeHasNoPart) {
  EXPECT_EQ(ColdPart(4, {}, {{"a"}, 0}, {}, {"a"}, 0), 0U);
}

}  // namespace
}  // namespace gooseberryrock::entry
