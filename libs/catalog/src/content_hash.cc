// Hash of the content of a command.

#include "gooseberryrock/catalog/content_hash.h"

#include <string>
#include <string_view>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/catalog/command.h"

namespace gooseberryrock::catalog {

namespace {

// Appends length-prefixed fields, so that different lists of fields never
// produce the same bytes.
class FieldWriter {
 public:
  void Text(std::string_view text) {
    Number(text.size());
    buf_.append(text);
  }

  template <typename T>
  void Number(T value) {
    buf_.append(reinterpret_cast<const char*>(&value), sizeof(value));
  }

  const std::string& buf() const { return buf_; }

 private:
  std::string buf_;
};

void Write(FieldWriter& writer, const ServiceDefinition& service) {
  writer.Text(service.name.value);
  writer.Number(service.layouts.size());
  for (const ShardLayout& layout : service.layouts) {
    writer.Number(layout.version);
    writer.Number(layout.shards.size());
    for (const ShardId& shard : layout.shards) {
      writer.Text(shard.value);
    }
  }
  for (const RankPolicy& policy : service.rank_policies) {
    writer.Number(policy.target_latency.count());
    writer.Number(policy.floor_share);
    writer.Number(policy.hedging);
    writer.Number(policy.prefer_coverage);
  }
  writer.Number(service.rules.size());
  for (const ServerRule& rule : service.rules) {
    writer.Number(rule.allow);
    writer.Number(rule.selector.size());
    for (const auto& [key, value] : rule.selector) {
      writer.Text(key);
      writer.Text(value);
    }
  }
  writer.Number(service.row_limit);
}

void Write(FieldWriter& writer, const PutService& change) {
  Write(writer, change.service);
}

void Write(FieldWriter& writer, const RemoveService& change) {
  writer.Text(change.name.value);
}

void Write(FieldWriter& writer, const SetReservation& change) {
  for (const auto& [domain, n] : change.nodes) {
    writer.Text(domain.value);
    writer.Number(n);
  }
}

}  // namespace

uint64_t ContentHash(const Command& command) {
  FieldWriter writer;
  writer.Number(command.expected_version);
  writer.Number(command.change.index());
  std::visit([&](const auto& change) { Write(writer, change); },
             command.change);
  return Hash64(writer.buf());
}

}  // namespace gooseberryrock::catalog
