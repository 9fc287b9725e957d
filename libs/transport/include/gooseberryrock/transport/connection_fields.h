// Hop-by-hop header fields.

#ifndef GOOSEBERRYROCK_TRANSPORT_CONNECTION_FIELDS_H_
#define GOOSEBERRYROCK_TRANSPORT_CONNECTION_FIELDS_H_

#include <boost/beast/http/fields.hpp>

namespace gooseberryrock::transport {

// Removes the fields that must not be forwarded: those named in RFC 9110,
// section 7.6.1, and those listed in the Connection field.
void RemoveConnectionFields(boost::beast::http::fields& fields);

}  // namespace gooseberryrock::transport

#endif  // GOOSEBERRYROCK_TRANSPORT_CONNECTION_FIELDS_H_
