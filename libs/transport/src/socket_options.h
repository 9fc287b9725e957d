// Options that all TCP connections share.

#ifndef GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_SOCKET_OPTIONS_H_
#define GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace gooseberryrock::transport {

// Sends small messages at once, and finds a peer that stopped responding, or a
// connection that something between the ends has forgotten, within a few
// seconds.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_SOCKET_OPTIONS_H_
