// A network address and port.

#ifndef GOOSEBERRYROCK_TRANSPORT_ENDPOINT_H_
#define GOOSEBERRYROCK_TRANSPORT_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace gooseberryrock::transport {

struct Endpoint {
  // A numeric IP address.
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_ENDPOINT_H_
