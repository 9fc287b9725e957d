// The last few texts of the route configuration.

#include "gooseberryrock/routes/recent_texts.h"

#include <algorithm>

#include "gooseberryrock/base/hash.h"
#include "gooseberryrock/routes/compressed_text.h"
#include "gooseberryrock/routes/route_error.h"
#include "gooseberryrock/routes/text_difference.h"

namespace gooseberryrock::routes {

namespace {

uint64_t HashOf(RecentText& text) {
  if (!text.hash) {
    try {
      text.hash = Hash64(DecompressText(text.compressed_text));
    } catch (const RouteError&) {
      text.hash = 0;
    }
  }
  return *text.hash;
}

// Returns an empty string if the difference is not smaller than the text.
std::string Compute(const RecentText& from, const RecentText& to) {
  std::string difference = MakeTextDifference(
      DecompressText(from.compressed_text), DecompressText(to.compressed_text));
  return difference.size() < to.compressed_text.size() ? difference
                                                       : std::string();
}

}  // namespace

void KeepText(RecentTexts& recent,
              uint64_t version,
              const std::string& compressed_text) {
  if (!recent.texts.empty() && version <= recent.texts.back().version) {
    return;
  }
  recent.texts.push_back({version, compressed_text, std::nullopt});
  recent.differences.clear();
  if (recent.texts.size() > kMaxRecentTexts) {
    recent.texts.pop_front();
  }
}

const std::string* FindDifference(RecentTexts& recent,
                                  uint64_t version,
                                  uint64_t text_hash) {
  RecentText& newest = recent.texts.back();
  auto from = std::find_if(
      recent.texts.begin(), recent.texts.end(),
      [version](const RecentText& it) { return it.version == version; });
  if (text_hash == 0 || from == recent.texts.end() ||
      HashOf(*from) != text_hash || HashOf(newest) == 0) {
    return nullptr;
  }
  auto [it, is_new] = recent.differences.try_emplace(version);
  if (is_new) {
    it->second = Compute(*from, newest);
    ++recent.computed;
  }
  return it->second.empty() ? nullptr : &it->second;
}

uint64_t NewestHash(RecentTexts& recent) {
  return recent.texts.empty() ? 0 : HashOf(recent.texts.back());
}

}  // namespace gooseberryrock::routes
