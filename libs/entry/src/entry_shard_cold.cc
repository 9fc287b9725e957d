// An I/O shard of an entry node: its part of the requests that cold servers
// take.

#include <string>

#include "cold_part.h"
#include "entry_shard.h"
#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/relay/cold_limit.h"
#include "gooseberryrock/telemetry/log_event.h"
#include "gooseberryrock/transport/io_thread.h"

namespace gooseberryrock::entry {

namespace {

// Part of its rate that a node uses after it has been cut off for so long that
// the others may have divided its part.
constexpr double kCutOffShare = 0.25;

}  // namespace

void EntryShard::SetContact(bool in_contact) {
  thread_.Post([this, in_contact] {
    std::lock_guard lock(mutex_);
    in_contact_ = in_contact;
    ApplyAllShares();
  });
}

double EntryShard::ColdRateOf(const ServiceName& service) const {
  if (!table_) {
    return 0;
  }
  auto it = table_->set.services.find(service);
  return it == table_->set.services.end() ? 0
                                          : it->second.cold_requests_per_second;
}

uint32_t EntryShard::ColdBurstOf(const directory::ServerRecord& record,
                                 uint32_t burst) const {
  const bool is_gathered = IsGathered(record.service);
  if (is_gathered && !gathers_) {
    return 0;
  }
  const ConnectionPlan& plan = is_gathered ? gather_plan_ : plan_;
  return ColdPart(burst, plan.reservation, plan.place, {shards_, shard_index_},
                  record.failure_domain, Hash64(record.id.value));
}

void EntryShard::ApplyColdShare(relay::PoolServer& server,
                                const directory::ServerRecord& record,
                                SteadyTime now) {
  relay::ColdLimit& limit = server.request_limit.cold;
  const double rate = ColdRateOf(record.service);
  const bool was_on = limit.is_on;
  if (!record.cold || rate <= 0) {
    relay::LiftCold(limit);
  } else {
    relay::ColdShare share =
        relay::ColdShareOf(rate, ColdBurstOf(record, relay::ColdBurst(rate)));
    share.requests_per_second *= in_contact_ ? 1 : kCutOffShare;
    relay::LimitCold(limit, share, now);
  }
  if (limit.is_on != was_on) {
    telemetry::LogEvent(
        telemetry::LogLevel::kInfo, limit.is_on ? "server_cold" : "server_warm",
        {{"server", server.id.value},
         {"service", record.service.value},
         {"per_second", std::to_string(limit.share.requests_per_second)},
         {"burst", std::to_string(limit.share.burst)}});
  }
}

}  // namespace gooseberryrock::entry
