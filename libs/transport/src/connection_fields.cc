// Hop-by-hop header fields.

#include "gooseberryrock/transport/connection_fields.h"

#include <string>
#include <vector>

#include <boost/beast/http/rfc7230.hpp>

namespace gooseberryrock::transport {

namespace http = boost::beast::http;

void RemoveConnectionFields(http::fields& fields) {
  std::vector<std::string> listed;
  const auto range = fields.equal_range(http::field::connection);
  for (auto it = range.first; it != range.second; ++it) {
    for (const auto token : http::token_list(it->value())) {
      listed.emplace_back(token);
    }
  }
  for (const std::string& name : listed) {
    fields.erase(name);
  }
  for (http::field name : {http::field::connection, http::field::keep_alive,
                           http::field::proxy_connection, http::field::te,
                           http::field::trailer, http::field::transfer_encoding,
                           http::field::upgrade, http::field::expect}) {
    fields.erase(name);
  }
}

}  // namespace gooseberryrock::transport
