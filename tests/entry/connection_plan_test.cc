// Tests the connection plan that follows from the list of entry nodes.

#include "connection_plan.h"

#include <gtest/gtest.h>

#include "gooseberryrock/node_list/node_list.h"

namespace gooseberryrock::entry {
namespace {

// Guards against two nodes with one place, or too few nodes in the reservation,
// by which servers would get too many connections.
TEST(ConnectionPlanTest, PlacesAreDistinctAndAllNodesCount) {
  node_list::NodeList list;
  Add(list, {{"a"}, {"n3"}});
  Add(list, {{"a"}, {"n1"}});
  Add(list, {{"b"}, {"n2"}});
  const auto first = MakeConnectionPlan(list, {"n1"}, {"a"});
  const auto second = MakeConnectionPlan(list, {"n3"}, {"a"});
  ASSERT_TRUE(first && second);
  EXPECT_EQ(first->place.position, 0U);
  EXPECT_EQ(second->place.position, 1U);
  EXPECT_EQ(second->place.domain.value, "a");
  EXPECT_EQ(second->self.value, "n3");
  const directory::Reservation expected{{{"a"}, 2}, {{"b"}, 1}};
  EXPECT_EQ(first->reservation, expected);
  const relay::NodesByDomain nodes{{{"a"}, {{"n1"}, {"n3"}}},
                                   {{"b"}, {{"n2"}}}};
  EXPECT_EQ(first->nodes, nodes);
}

// Guards against a plan from a list that lacks this node, or has it in another
// failure domain.
TEST(ConnectionPlanTest, NoPlanWithoutThisNode) {
  node_list::NodeList list;
  Add(list, {{"a"}, {"n1"}});
  EXPECT_FALSE(MakeConnectionPlan(list, {"n2"}, {"a"}));
  EXPECT_FALSE(MakeConnectionPlan(list, {"n1"}, {"b"}));
}

}  // namespace
}  // namespace gooseberryrock::entry
