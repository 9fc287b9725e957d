// A message body whose memory grows as its bytes arrive. Beast's string_body
// reserves the whole Content-Length before the first byte.

#ifndef GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_GROWING_BODY_H_
#define GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_GROWING_BODY_H_

#include <algorithm>
#include <cstdint>
#include <string>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace gooseberryrock::transport {

struct GrowingBody {
  using value_type = std::string;

  // Beast requires this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<uint64_t>& length,
              boost::beast::error_code& ec) {
      length_ = length.value_or(UINT64_MAX);
      ec = {};
    }

    template <class Buffers>
    size_t put(const Buffers& buffers, boost::beast::error_code& ec) {
      ec = {};
      const size_t before = body_.size();
      for (const auto& it : boost::beast::buffers_range_ref(buffers)) {
        Reserve(body_.size() + it.size());
        body_.append(static_cast<const char*>(it.data()), it.size());
      }
      return body_.size() - before;
    }

    void finish(boost::beast::error_code& ec) { ec = {}; }

   private:
    // Doubles the memory, but takes the Content-Length at once if less than
    // another doubling would follow: std::string at least doubles its capacity
    // whenever it grows.
    void Reserve(size_t n) {
      constexpr size_t kMinCapacity = 512;
      if (n <= body_.capacity()) {
        return;
      }
      const size_t doubled = std::max({n, body_.capacity() * 2, kMinCapacity});
      const bool is_last = length_ >= n && length_ < 2 * uint64_t{doubled};
      body_.reserve(is_last ? static_cast<size_t>(length_) : doubled);
    }

    value_type& body_;
    uint64_t length_ = UINT64_MAX;
  };
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_GROWING_BODY_H_
