// The directory of a node under its lock.

#include "gooseberryrock/node/directory_keeper.h"

#include <algorithm>
#include <utility>

#include "gooseberryrock/directory/merge_record.h"
#include "gooseberryrock/directory/ownership.h"
#include "gooseberryrock/node/query_engine.h"
#include "gooseberryrock/node/service_views.h"

namespace gooseberryrock::node {

namespace {

// A server that has not announced itself for this long has gone.
constexpr Duration kExpiry = std::chrono::seconds(2);
// Nodes that share a server's connection limit when the catalog has no
// reservation.
constexpr uint32_t kDefaultReservedNodes = 8;

uint32_t ReservedNodes(const catalog::Catalog& catalog) {
  uint32_t n = 0;
  for (const auto& [domain, nodes] : catalog.reserved_nodes) {
    n += nodes;
  }
  return n == 0 ? kDefaultReservedNodes : n;
}

}  // namespace

DirectoryKeeper::DirectoryKeeper(NodeId self,
                                 ServiceViews& views,
                                 QueryEngine& engine)
    : self_(std::move(self)), views_(views), engine_(engine) {}

void DirectoryKeeper::OnAnnouncement(const directory::ServerRecord& record,
                                     SteadyTime now) {
  std::lock_guard lock(mutex_);
  if (directory::AcceptAnnouncement(directory_, record, self_, now)) {
    Publish(directory_.entries.at(record.id).record);
    RebuildViews();
  }
}

void DirectoryKeeper::Expire(SteadyTime now) {
  std::lock_guard lock(mutex_);
  const auto expired =
      directory::ExpireServers(directory_, self_, kExpiry, now);
  for (const auto& record : expired) {
    Publish(record);
  }
  if (!expired.empty()) {
    RebuildViews();
  }
}

void DirectoryKeeper::PutCatalogInForce(const catalog::Catalog& catalog) {
  std::lock_guard lock(mutex_);
  if (catalog.version <= catalog_.version) {
    return;
  }
  catalog_ = catalog;
  for (const auto& [id, entry] : directory_.entries) {
    Publish(entry.record);
  }
  RebuildViews();
}

uint64_t DirectoryKeeper::CatalogVersion() const {
  std::lock_guard lock(mutex_);
  return catalog_.version;
}

std::vector<directory::ServerRecord> DirectoryKeeper::Records() const {
  std::lock_guard lock(mutex_);
  return directory::ChangesSince(directory_, 0);
}

void DirectoryKeeper::Publish(const directory::ServerRecord& record) {
  const uint32_t share =
      std::max(record.connection_limit / ReservedNodes(catalog_), 1U);
  engine_.OnServerChanged(record, share);
}

void DirectoryKeeper::RebuildViews() {
  views_.Rebuild(catalog_, directory_);
}

}  // namespace gooseberryrock::node
