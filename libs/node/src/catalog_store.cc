// The catalog in force on this node.

#include "gooseberryrock/node/catalog_store.h"

#include <chrono>
#include <utility>

namespace gooseberryrock::node {

CatalogStore::CatalogStore(ChangeHandler on_change)
    : on_change_(std::move(on_change)) {}

void CatalogStore::Put(const catalog::Catalog& catalog) {
  if (catalog.version <= Version()) {
    return;
  }
  // Version() must not report the new version before `on_change` has applied
  // it.
  on_change_(catalog);
  {
    std::lock_guard lock(mutex_);
    if (catalog.version <= catalog_.version) {
      return;
    }
    catalog_.version = catalog.version;
    catalog_.services = catalog.services;
    catalog_.reserved_nodes = catalog.reserved_nodes;
  }
  changed_.notify_all();
}

void CatalogStore::Confirm(uint64_t version, SteadyTime now) {
  std::lock_guard lock(mutex_);
  if (catalog_.version >= version) {
    confirmed_at_ = now;
  }
}

uint64_t CatalogStore::Version() const {
  std::lock_guard lock(mutex_);
  return catalog_.version;
}

catalog::Catalog CatalogStore::InForce() const {
  std::lock_guard lock(mutex_);
  return catalog_;
}

std::optional<SteadyTime> CatalogStore::ConfirmedAt() const {
  std::lock_guard lock(mutex_);
  return confirmed_at_;
}

bool CatalogStore::WaitForVersion(uint64_t version, SteadyTime until) const {
  std::unique_lock lock(mutex_);
  return changed_.wait_until(lock, until,
                             [&] { return catalog_.version >= version; });
}

}  // namespace gooseberryrock::node
