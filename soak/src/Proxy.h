// A TCP proxy on a link between two processes, which can delay, reset, cut and silence it.
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/soak/FaultPlan.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>

namespace persimmondoor::soak {

class Proxy {
public:
    // Listens on `address` and passes on to `target`. Returns Unavailable if it cannot listen.
    static absl::StatusOr<std::unique_ptr<Proxy>> start(const boost::asio::any_io_executor&, const Address& address, const Address& target);

    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    // Applies a fault to the link; nothing ends it. Connections that have been silenced stay silent.
    void setFault(std::optional<LinkFault>);

private:
    struct State;
    explicit Proxy(std::shared_ptr<State>);
    std::shared_ptr<State> state_;
};

} // namespace persimmondoor::soak
