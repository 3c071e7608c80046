// Converts the HTTP values of this slice to those of Beast.
#pragma once

#include "persimmondoor/http/Message.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace persimmondoor::http {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Returns whether a field belongs to one connection. Such fields are not forwarded but set for each connection.
bool isConnectionField(std::string_view name);
BeastRequest toBeast(Request&&);
// `keepAlive` states to the client whether the connection stays open.
BeastResponse toBeast(Response&&, bool keepAlive);

} // namespace persimmondoor::http
