// Compression of the route configuration text, which is sent between failure
// domains and written to disk with each change.

#ifndef GOOSEBERRYROCK_ROUTES_COMPRESSED_TEXT_H_
#define GOOSEBERRYROCK_ROUTES_COMPRESSED_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace gooseberryrock::routes {

// Maximum decompressed size: sixteen times the largest body that an operator
// may send.
inline constexpr size_t kMaxTextBytes = size_t{16} << 20U;

// Returns `text` compressed in zlib format.
std::string CompressText(std::string_view text);

// Throws RouteError (kMalformed) if `compressed` is corrupt or too large.
std::string DecompressText(std::string_view compressed);

}  // namespace gooseberryrock::routes

#endif  // GOOSEBERRYROCK_ROUTES_COMPRESSED_TEXT_H_
