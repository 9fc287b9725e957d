// Options of all TCP connections.

#ifndef GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_SOCKET_OPTIONS_H_
#define GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace gooseberryrock::transport {

// Disables delayed sending of small messages, and enables the detection, within
// a few seconds, of peers that do not respond and of connections whose state
// was lost by a device in between.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_LIBS_TRANSPORT_SRC_SOCKET_OPTIONS_H_
