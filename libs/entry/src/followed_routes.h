// The text of the routes that this node follows, to which differences apply.

#ifndef GOOSEBERRYROCK_LIBS_ENTRY_SRC_FOLLOWED_ROUTES_H_
#define GOOSEBERRYROCK_LIBS_ENTRY_SRC_FOLLOWED_ROUTES_H_

#include <cstdint>
#include <string>

namespace gooseberryrock::proto {
class EntryPollReply;
}  // namespace gooseberryrock::proto

namespace gooseberryrock::entry {

struct FollowedText {
  // 0 if no routes are followed.
  uint64_t version = 0;
  // Uncompressed.
  std::string text;
  // Hash of `text`; 0 if the whole text has to be requested.
  uint64_t hash = 0;
};

// Returns the version of the routes in the reply, 0 if there are none.
uint64_t RoutesVersion(const proto::EntryPollReply& reply);

// Returns the text in the reply, which must contain routes. Throws RouteError
// (kMalformed) if it is corrupt, or if the difference does not lead from
// `followed` to the text that the control VM has.
FollowedText ReadText(const FollowedText& followed,
                      const proto::EntryPollReply& reply);

}  // namespace gooseberryrock::entry

#endif  // GOOSEBERRYROCK_LIBS_ENTRY_SRC_FOLLOWED_ROUTES_H_
