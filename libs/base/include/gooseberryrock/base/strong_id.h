// A string identifier with a distinct type, so that a service name cannot be
// passed where a node name is expected.

#ifndef GOOSEBERRYROCK_BASE_STRONG_ID_H_
#define GOOSEBERRYROCK_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <string>

namespace gooseberryrock {

template <typename Tag>
struct StrongId {
  std::string value;

  bool empty() const { return value.empty(); }
  auto operator<=>(const StrongId&) const = default;
};

}  // namespace gooseberryrock

template <typename Tag>
struct std::hash<gooseberryrock::StrongId<Tag>> {
  size_t operator()(const gooseberryrock::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};

#endif  // GOOSEBERRYROCK_BASE_STRONG_ID_H_
