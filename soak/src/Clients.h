// Clients that submit jobs, ask for their state and cancel some. They keep their connections open until the process at the
// other end is gone.
#pragma once

#include "Recorder.h"
#include "persimmondoor/core/Address.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>
#include <vector>

namespace persimmondoor::soak {

struct ClientOptions {
    std::vector<Address> entries_;
    // Host and path prefix of the queue.
    std::string host_;
    std::string prefix_;
    // Racks of the workers, on which data of tasks lies.
    std::vector<std::string> racks_;
    uint64_t seed_ { 0 };
    bool operator==(const ClientOptions&) const = default;
};

class Clients {
public:
    static std::unique_ptr<Clients> start(const boost::asio::any_io_executor&, ClientOptions, std::shared_ptr<Recorder>);

    ~Clients();
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;

    // Submits no further jobs; those that were submitted are followed.
    void stopSubmitting();

private:
    struct State;
    explicit Clients(std::shared_ptr<State>);
    std::shared_ptr<State> state_;
};

} // namespace persimmondoor::soak
