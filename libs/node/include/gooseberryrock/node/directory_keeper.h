// The directory of a node under its lock, with the node's query path kept up to
// date.

#ifndef GOOSEBERRYROCK_NODE_DIRECTORY_KEEPER_H_
#define GOOSEBERRYROCK_NODE_DIRECTORY_KEEPER_H_

#include <mutex>
#include <vector>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/base/time.h"
#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/directory/directory.h"

namespace gooseberryrock::node {

class QueryEngine;
class ServiceViews;

class DirectoryKeeper {
 public:
  DirectoryKeeper(NodeId self, ServiceViews& views, QueryEngine& engine);

  // An announcement that reached this node.
  void OnAnnouncement(const directory::ServerRecord& record, SteadyTime now);
  void Expire(SteadyTime now);

  // Puts a catalog in force when it is newer than the present one.
  void PutCatalogInForce(const catalog::Catalog& catalog);
  uint64_t CatalogVersion() const;

  std::vector<directory::ServerRecord> Records() const;

 private:
  // Brings the query path up to date with one record; the lock is held.
  void Publish(const directory::ServerRecord& record);
  void RebuildViews();

  const NodeId self_;
  ServiceViews& views_;
  QueryEngine& engine_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  directory::Directory directory_;
  catalog::Catalog catalog_;
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_DIRECTORY_KEEPER_H_
