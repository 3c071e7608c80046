/// An IP address and port, as configured in the settings.
///
/// \code
/// absl::StatusOr<Address> address = Address::parse("127.0.0.1:7100");
/// \endcode
#pragma once

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmondoor {

class Address {
public:
    Address() = default;

    /// Parses "ip:port".
    /// \return the address, or InvalidArgument that names the text.
    static absl::StatusOr<Address> parse(std::string_view text);

    const std::string& ip() const { return ip_; }
    uint16_t port() const { return port_; }
    std::string text() const;
    /// The same address with another port.
    Address withPort(uint16_t port) const { return { ip_, port }; }
    auto operator<=>(const Address&) const = default;

private:
    Address(std::string ip, uint16_t port)
        : ip_(std::move(ip))
        , port_(port)
    {
    }

    std::string ip_;
    uint16_t port_ { 0 };
};

} // namespace persimmondoor
