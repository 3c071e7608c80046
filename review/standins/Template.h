// Renders the project's settings template as the platform does.
#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace persimmondoor::review {

std::string renderTemplate(const std::string& text, const boost::json::object& fields);

} // namespace persimmondoor::review
