// Validates a whole change before it is accepted.

#ifndef GOOSEBERRYROCK_CATALOG_VALIDATE_H_
#define GOOSEBERRYROCK_CATALOG_VALIDATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/catalog/command.h"

namespace gooseberryrock::catalog {

struct Catalog;

inline constexpr size_t kMaxNameLength = 64;
inline constexpr size_t kMaxServices = 1000;
inline constexpr size_t kMaxShards = 10000;
inline constexpr size_t kMaxRules = 100;
inline constexpr uint32_t kMaxRowLimit = 10000;
inline constexpr uint32_t kMaxReservedNodes = 10000;
inline constexpr Duration kMaxTargetLatency = std::chrono::minutes(1);

// Whether `name` consists of 1 to kMaxNameLength letters, digits, '-', '_' and
// '.'.
bool IsValidName(const std::string& name);

// Returns all problems of applying `change` to `catalog`, one sentence each;
// empty if the change is valid.
std::vector<std::string> Validate(const Catalog& catalog, const Change& change);

}  // namespace gooseberryrock::catalog

#endif  // GOOSEBERRYROCK_CATALOG_VALIDATE_H_
