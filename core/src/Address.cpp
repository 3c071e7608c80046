#include "persimmondoor/core/Address.h"

#include "persimmondoor/core/Text.h"
#include <absl/strings/numbers.h>
#include <boost/asio/ip/address.hpp>

namespace persimmondoor {

absl::StatusOr<Address> Address::parse(std::string_view text)
{
    auto colon = text.rfind(':');
    uint32_t port = 0;
    if (colon == std::string_view::npos || !absl::SimpleAtoi(toAbseil(text.substr(colon + 1)), &port) || port > UINT16_MAX)
        return absl::InvalidArgumentError(concat("'", text, "' is not ip:port"));
    std::string ip(text.substr(0, colon));
    boost::system::error_code error;
    boost::asio::ip::make_address(ip, error);
    if (error)
        return absl::InvalidArgumentError(concat("'", ip, "' is not an IP address"));
    return Address(std::move(ip), static_cast<uint16_t>(port));
}

std::string Address::text() const
{
    return concat(ip_, ":", port_);
}

} // namespace persimmondoor
