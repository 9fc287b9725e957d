// The catalog in force on this node.

#ifndef GOOSEBERRYROCK_NODE_CATALOG_STORE_H_
#define GOOSEBERRYROCK_NODE_CATALOG_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "gooseberryrock/base/time.h"
#include "gooseberryrock/catalog/catalog.h"

namespace gooseberryrock::node {

class CatalogStore {
 public:
  using ChangeHandler = std::function<void(const catalog::Catalog&)>;

  // `on_change` applies a catalog. It must ignore a catalog that is not newer
  // than the last one it received.
  explicit CatalogStore(ChangeHandler on_change);

  // Puts `catalog` in force if it is newer than the current one.
  void Put(const catalog::Catalog& catalog);

  // Records that a control VM reported at `now` that it knows no version newer
  // than `version`.
  void Confirm(uint64_t version, SteadyTime now);

  uint64_t Version() const;
  catalog::Catalog InForce() const;
  // When the version in force was last confirmed. Empty if never.
  std::optional<SteadyTime> ConfirmedAt() const;

  // Waits until `until` for `version` or a later one. Returns whether it is in
  // force.
  bool WaitForVersion(uint64_t version, SteadyTime until) const;

 private:
  const ChangeHandler on_change_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  // Guarded by `mutex_`. The version never decreases.
  catalog::Catalog catalog_;
  std::optional<SteadyTime> confirmed_at_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_CATALOG_STORE_H_
