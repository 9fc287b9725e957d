// Differences between two texts of the route configuration, so that a change
// of a few values does not send the whole text to each entry node.

#ifndef GOOSEBERRYROCK_ROUTES_TEXT_DIFFERENCE_H_
#define GOOSEBERRYROCK_ROUTES_TEXT_DIFFERENCE_H_

#include <string>
#include <string_view>

namespace gooseberryrock::routes {

// Returns a difference from which `to` can be made out of `from`. It consists,
// compressed in zlib format, of the size of `to` and of operations: bytes to
// insert (their number, then the bytes), then bytes to copy from `from` (their
// number, then their offset). Numbers are in base 128, the lowest digit first;
// the highest bit marks that more digits follow.
std::string MakeTextDifference(std::string_view from, std::string_view to);

// Throws RouteError (kMalformed) if the difference is corrupt, refers to bytes
// outside `from`, or makes a text larger than kMaxTextBytes. The caller checks
// the result by a hash, because a difference from another text may fit.
std::string ApplyTextDifference(std::string_view from,
                                std::string_view difference);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_TEXT_DIFFERENCE_H_
