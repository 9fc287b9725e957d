// Differences between two texts of the route configuration.

#include "gooseberryrock/routes/text_difference.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"

namespace gooseberryrock::routes {

namespace {

// The shortest copy that is looked for. Shorter ones save little, since an
// operation takes up to six bytes.
constexpr size_t kBlockBytes = 24;
// Configurations repeat themselves; of the blocks with one hash this many are
// compared.
constexpr size_t kMaxCandidates = 8;
// An odd multiplier makes each byte of the block count in the hash.
constexpr uint64_t kMultiplier = 0x9E3779B97F4A7C15;

uint64_t BlockHash(std::string_view block) {
  uint64_t hash = 0;
  for (const char it : block) {
    hash = hash * kMultiplier + static_cast<unsigned char>(it);
  }
  return hash;
}

// kMultiplier to the power of kBlockBytes.
uint64_t OldestWeight() {
  uint64_t weight = 1;
  for (size_t i = 0; i < kBlockBytes; ++i) {
    weight *= kMultiplier;
  }
  return weight;
}

using BlockIndex = std::unordered_map<uint64_t, std::vector<size_t>>;

BlockIndex IndexBlocks(std::string_view text) {
  BlockIndex index;
  for (size_t i = 0; i + kBlockBytes <= text.size(); i += kBlockBytes) {
    auto& offsets = index[BlockHash(text.substr(i, kBlockBytes))];
    if (offsets.size() < kMaxCandidates) {
      offsets.push_back(i);
    }
  }
  return index;
}

size_t CommonPrefix(std::string_view a, std::string_view b) {
  const size_t n = std::min(a.size(), b.size());
  return static_cast<size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<ptrdiff_t>(n), b.begin())
          .first -
      a.begin());
}

struct Copy {
  size_t offset = 0;
  size_t size = 0;
};

// Returns the longest copy for the start of `rest`, of size 0 if there is none.
Copy FindCopy(std::string_view from,
              std::string_view rest,
              const std::vector<size_t>& candidates) {
  Copy best;
  for (const size_t it : candidates) {
    const size_t n = CommonPrefix(from.substr(it), rest);
    if (n > best.size) {
      best = {it, n};
    }
  }
  return best.size >= kBlockBytes ? best : Copy{};
}

void AppendNumber(std::string& buf, size_t value) {
  for (; value >= 128; value /= 128) {
    buf.push_back(static_cast<char>(128 + value % 128));
  }
  buf.push_back(static_cast<char>(value));
}

[[noreturn]] void ThrowMalformed() {
  throw RouteError({RouteProblemKind::kMalformed, "",
                    "the difference is damaged or does not fit"});
}

size_t TakeNumber(std::string_view& buf) {
  // Enough for kMaxTextBytes.
  constexpr int kMaxShift = 28;
  size_t value = 0;
  for (int shift = 0; shift <= kMaxShift && !buf.empty(); shift += 7) {
    const auto digit = static_cast<unsigned char>(buf.front());
    buf.remove_prefix(1);
    value |= static_cast<size_t>(digit & 127U) << static_cast<unsigned>(shift);
    if (digit < 128) {
      return value;
    }
  }
  ThrowMalformed();
}

void AppendOperation(std::string& buf,
                     std::string_view inserted,
                     const Copy& copy) {
  AppendNumber(buf, inserted.size());
  buf += inserted;
  AppendNumber(buf, copy.size);
  AppendNumber(buf, copy.offset);
}

}  // namespace

std::string MakeTextDifference(std::string_view from, std::string_view to) {
  static const uint64_t oldest_weight = OldestWeight();
  const BlockIndex index = IndexBlocks(from);
  std::string buf;
  AppendNumber(buf, to.size());
  size_t insert_at = 0;
  size_t i = 0;
  uint64_t hash = BlockHash(to.substr(0, kBlockBytes));
  while (i + kBlockBytes <= to.size()) {
    auto it = index.find(hash);
    Copy copy =
        it == index.end() ? Copy{} : FindCopy(from, to.substr(i), it->second);
    if (copy.size == 0) {
      if (i + kBlockBytes < to.size()) {
        hash = hash * kMultiplier +
               static_cast<unsigned char>(to[i + kBlockBytes]) -
               oldest_weight * static_cast<unsigned char>(to[i]);
      }
      ++i;
      continue;
    }
    // The copy may start before the block.
    while (i > insert_at && copy.offset > 0 &&
           to[i - 1] == from[copy.offset - 1]) {
      --i;
      --copy.offset;
      ++copy.size;
    }
    AppendOperation(buf, to.substr(insert_at, i - insert_at), copy);
    i += copy.size;
    insert_at = i;
    if (i + kBlockBytes <= to.size()) {
      hash = BlockHash(to.substr(i, kBlockBytes));
    }
  }
  if (insert_at < to.size()) {
    AppendOperation(buf, to.substr(insert_at), {});
  }
  return CompressText(buf);
}

std::string ApplyTextDifference(std::string_view from,
                                std::string_view difference) {
  const std::string operations = DecompressText(difference);
  std::string_view buf = operations;
  const size_t size = TakeNumber(buf);
  if (size > kMaxTextBytes) {
    ThrowMalformed();
  }
  std::string text;
  while (!buf.empty()) {
    const size_t inserted = TakeNumber(buf);
    if (inserted > buf.size() || inserted > size - text.size()) {
      ThrowMalformed();
    }
    text += buf.substr(0, inserted);
    buf.remove_prefix(inserted);
    const size_t n = TakeNumber(buf);
    const size_t offset = TakeNumber(buf);
    if (offset > from.size() || n > from.size() - offset ||
        n > size - text.size()) {
      ThrowMalformed();
    }
    text += from.substr(offset, n);
  }
  if (text.size() != size) {
    ThrowMalformed();
  }
  return text;
}

}  // namespace gooseberryrock::routes
