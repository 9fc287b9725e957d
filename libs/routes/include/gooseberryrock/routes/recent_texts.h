// The last few texts of the route configuration, and the differences that lead
// to the newest one.

#ifndef GOOSEBERRYROCK_ROUTES_RECENT_TEXTS_H_
#define GOOSEBERRYROCK_ROUTES_RECENT_TEXTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace gooseberryrock::routes {

// Nodes poll four times a second and have the newest version or the one before;
// the others are for nodes that were cut off during a few changes.
inline constexpr size_t kMaxRecentTexts = 4;

struct RecentText {
  uint64_t version = 0;
  std::string compressed_text;
  // Hash of the uncompressed text, once it was needed.
  std::optional<uint64_t> hash;
};

struct RecentTexts {
  // In the order of their versions, at most kMaxRecentTexts.
  std::deque<RecentText> texts;
  // Differences from earlier versions to the newest one, empty where they are
  // no smaller than the compressed text.
  std::map<uint64_t, std::string> differences;
  // Number of differences computed so far. Tests check that it depends on the
  // versions, not on the nodes that ask.
  uint64_t computed = 0;
};

// Ignores versions that are not newer than the newest.
void KeepText(RecentTexts& recent,
              uint64_t version,
              const std::string& compressed_text);

// Returns the difference that leads a node from `version`, whose uncompressed
// text has the hash `text_hash`, to the newest text. Returns nullptr if the
// node needs the whole text: it has none (`text_hash` is 0), an unknown version
// or another text, or the difference is no smaller. Requires a kept text.
const std::string* FindDifference(RecentTexts& recent,
                                  uint64_t version,
                                  uint64_t text_hash);

// Hash of the newest uncompressed text, 0 if it cannot be decompressed.
uint64_t NewestHash(RecentTexts& recent);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_RECENT_TEXTS_H_
