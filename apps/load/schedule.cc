// Generates the requests of a load run with their planned send times.

#include "schedule.h"

#include <algorithm>
#include <cstdint>
#include <random>

#include "load_options.h"

namespace gooseberryrock::load {

namespace {

// Maximum delay of a resend after the original request.
constexpr std::chrono::duration<double> kMaxResendDelay(0.2);

std::string NewRequestId(WallTime start,
                         Duration offset,
                         std::mt19937_64& random) {
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      start.time_since_epoch() + offset);
  return std::to_string(unix_ms.count()) + "-" + std::to_string(random());
}

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

std::vector<Arrival> PlanArrivals(const LoadOptions& options, WallTime start) {
  std::mt19937_64 random(options.seed);
  std::bernoulli_distribution is_booking(options.booking_share);
  std::bernoulli_distribution is_resent(options.resend_share);
  std::uniform_int_distribution<uint32_t> tenant(1,
                                                 std::max(options.tenants, 1U));
  std::uniform_real_distribution<double> resend_delay(0,
                                                      kMaxResendDelay.count());
  std::vector<Arrival> arrivals;
  for (const Rank rank : kAllRanks) {
    const double rate = options.ranks[RankIndex(rank)].rate;
    if (rate <= 0) {
      continue;
    }
    std::exponential_distribution<double> interarrival_seconds(rate);
    for (Duration offset = ToDuration(interarrival_seconds(random));
         offset < options.duration;
         offset += ToDuration(interarrival_seconds(random))) {
      Arrival arrival;
      arrival.offset = offset;
      arrival.rank = rank;
      arrival.tenant = "tenant-" + std::to_string(tenant(random));
      arrival.request_id = NewRequestId(start, offset, random);
      arrival.idempotent = !is_booking(random);
      if (!arrival.idempotent) {
        arrival.routing_key = "chair-" + std::to_string(random());
      }
      if (is_resent(random)) {
        Arrival resend = arrival;
        resend.offset += ToDuration(resend_delay(random));
        arrivals.push_back(std::move(resend));
      }
      arrivals.push_back(std::move(arrival));
    }
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.offset < b.offset; });
  return arrivals;
}

}  // namespace gooseberryrock::load
