// Compression of the routes' text.

#include "gooseberryrock/routes/compressed_text.h"

#include <zlib.h>

#include <algorithm>

#include "gooseberryrock/routes/route_error.h"

namespace gooseberryrock::routes {

namespace {

constexpr size_t kFirstGuess = size_t{64} << 10U;

}  // namespace

std::string CompressText(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string out(size, '\0');
  compress2(reinterpret_cast<Bytef*>(out.data()), &size,
            reinterpret_cast<const Bytef*>(text.data()), text.size(),
            Z_BEST_SPEED);
  out.resize(size);
  return out;
}

std::string DecompressText(std::string_view compressed) {
  for (size_t guess = std::max(kFirstGuess, compressed.size() * 4);;
       guess *= 4) {
    std::string out(std::min(guess, kMaxTextBytes), '\0');
    uLongf size = out.size();
    const int status = uncompress(
        reinterpret_cast<Bytef*>(out.data()), &size,
        reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
    if (status == Z_OK) {
      out.resize(size);
      return out;
    }
    if (status != Z_BUF_ERROR || guess >= kMaxTextBytes) {
      throw RouteError({RouteProblemKind::kMalformed, "",
                        "the compressed text is damaged or too large"});
    }
  }
}

}  // namespace gooseberryrock::routes
