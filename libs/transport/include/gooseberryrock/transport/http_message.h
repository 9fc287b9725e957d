// HTTP/1.1 messages, encoded and parsed by Boost.Beast.

#ifndef GOOSEBERRYROCK_TRANSPORT_HTTP_MESSAGE_H_
#define GOOSEBERRYROCK_TRANSPORT_HTTP_MESSAGE_H_

#include <utility>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace gooseberryrock::transport {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_HTTP_MESSAGE_H_
