// The current view of each service.

#include "gooseberryrock/node/service_views.h"

#include <utility>
#include <vector>

#include "gooseberryrock/catalog/catalog.h"
#include "gooseberryrock/directory/directory.h"

namespace gooseberryrock::node {

std::shared_ptr<const ServiceView> ServiceViews::Find(
    const ServiceName& service) const {
  std::shared_ptr<const ViewMap> views;
  {
    std::lock_guard lock(mutex_);
    views = views_;
  }
  auto it = views->find(service);
  return it == views->end() ? nullptr : it->second;
}

void ServiceViews::Rebuild(const catalog::Catalog& catalog,
                           const directory::Directory& directory) {
  std::map<ServiceName, std::vector<const directory::ServerRecord*>> servers;
  for (const auto& [id, entry] : directory.entries) {
    servers[entry.record.service].push_back(&entry.record);
  }
  auto views = std::make_shared<ViewMap>();
  for (const auto& [name, definition] : catalog.services) {
    (*views)[name] = std::make_shared<const ServiceView>(ServiceView{
        definition, query::BuildRoutingTable(definition, servers[name])});
  }
  std::lock_guard lock(mutex_);
  views_ = std::move(views);
}

}  // namespace gooseberryrock::node
