// Compression of the route configuration text.

#include "gooseberryrock/routes/compressed_text.h"

#include <zlib.h>

#include <algorithm>

#include "gooseberryrock/routes/route_error.h"

namespace gooseberryrock::routes {

namespace {

constexpr size_t kInitialBufferBytes = size_t{64} << 10U;

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
  for (size_t buffer_size =
           std::max(kInitialBufferBytes, compressed.size() * 4);
       ; buffer_size *= 4) {
    std::string out(std::min(buffer_size, kMaxTextBytes), '\0');
    uLongf size = out.size();
    const int status = uncompress(
        reinterpret_cast<Bytef*>(out.data()), &size,
        reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
    if (status == Z_OK) {
      out.resize(size);
      return out;
    }
    if (status != Z_BUF_ERROR || buffer_size >= kMaxTextBytes) {
      throw RouteError({RouteProblemKind::kMalformed, "",
                        "the compressed text is damaged or too large"});
    }
  }
}

}  // namespace gooseberryrock::routes
