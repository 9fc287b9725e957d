// The parts of a gathered request and what has arrived of them.

#include "gathered_parts.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "gooseberryrock/relay/gather.h"
#include "gooseberryrock/relay/request_machine.h"
#include "gooseberryrock/relay/request_state.h"

namespace gooseberryrock::relay {

namespace {

size_t ShardCount(const RequestPart& part) {
  return std::max<size_t>(part.group.size(), 1);
}

}  // namespace

void FailPart(RequestState& state, RequestPart& part) {
  if (!part.failed && !part.answered) {
    part.failed = true;
    ++state.parts_failed;
  }
}

size_t CountAnswered(const RequestState& state) {
  size_t n = 0;
  for (const RequestPart& it : state.parts) {
    n += it.digests.size();
  }
  return n;
}

size_t CountAvailable(const RequestState& state) {
  size_t n = 0;
  for (const RequestPart& it : state.parts) {
    n += it.failed ? it.digests.size() : ShardCount(it);
  }
  return n;
}

GatheredOutcome MakeGatheredOutcome(const RequestState& state,
                                    bool settled_early) {
  std::vector<std::string_view> bodies;
  GatheredOutcome outcome;
  size_t shards = 0;
  for (const RequestPart& part : state.parts) {
    shards += ShardCount(part);
    if (!part.digests.empty()) {
      bodies.push_back(part.body);
      outcome.digests.insert(outcome.digests.end(), part.digests.begin(),
                             part.digests.end());
    }
  }
  outcome.body = TopRecords(bodies, state.top_records);
  outcome.missing_shards =
      static_cast<uint32_t>(shards - outcome.digests.size());
  outcome.settled_early = settled_early;
  return outcome;
}

GatheredOutcome Progress(const RequestState& state) {
  return MakeGatheredOutcome(state, /*settled_early=*/true);
}

}  // namespace gooseberryrock::relay
