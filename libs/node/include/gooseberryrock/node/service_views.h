// The current view of each service, replaced as a whole on each change.

#ifndef GOOSEBERRYROCK_NODE_SERVICE_VIEWS_H_
#define GOOSEBERRYROCK_NODE_SERVICE_VIEWS_H_

#include <map>
#include <memory>
#include <mutex>

#include "gooseberryrock/base/ids.h"
#include "gooseberryrock/node/service_view.h"

namespace gooseberryrock::catalog {
struct Catalog;
}  // namespace gooseberryrock::catalog

namespace gooseberryrock::directory {
struct Directory;
}  // namespace gooseberryrock::directory

namespace gooseberryrock::node {

class ServiceViews {
 public:
  using ViewMap = std::map<ServiceName, std::shared_ptr<const ServiceView>>;

  // Returns the view of `service`, or null if the service is not defined.
  std::shared_ptr<const ServiceView> Find(const ServiceName& service) const;

  void Rebuild(const catalog::Catalog& catalog,
               const directory::Directory& directory);

 private:
  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  std::shared_ptr<const ViewMap> views_ = std::make_shared<ViewMap>();
};

}  // namespace gooseberryrock::node

#endif  // GOOSEBERRYROCK_NODE_SERVICE_VIEWS_H_
