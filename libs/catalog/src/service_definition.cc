// Lookups in a service definition.

#include "gooseberryrock/catalog/service_definition.h"

#include <algorithm>

#include "gooseberryrock/base/hash.h"

namespace gooseberryrock::catalog {

const ShardLayout* FindLayout(const ServiceDefinition& service,
                              uint64_t version) {
  auto it =
      std::find_if(service.layouts.begin(), service.layouts.end(),
                   [&](const ShardLayout& l) { return l.version == version; });
  return it == service.layouts.end() ? nullptr : &*it;
}

const ShardId& ShardForKey(const ShardLayout& layout,
                           std::string_view routing_key) {
  const uint64_t key_hash = Hash64(routing_key);
  return *std::max_element(layout.shards.begin(), layout.shards.end(),
                           [&](const ShardId& a, const ShardId& b) {
                             return Hash64(a.value, key_hash) <
                                    Hash64(b.value, key_hash);
                           });
}

}  // namespace gooseberryrock::catalog
