// A whole system in one process on loopback: entries, agents and service instances that misbehave as told.
#pragma once

#include "persimmondoor/app/Agent.h"
#include "persimmondoor/app/Entry.h"
#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/store/StandinServer.h"

#include <map>
#include <random>

namespace persimmondoor::bench {

// How the service instances behave.
struct Behaviour {
    // Time that a request takes.
    Duration service_ { 0 };
    // Share of the requests whose connection is closed before or after they ran.
    double closes_ { 0 };
    // Share of the requests that take much longer than their deadline.
    double hangs_ { 0 };
};

// What the service instances have seen.
struct Seen {
    // Runs of each request, by the request's body.
    std::map<std::string, int> runs_;
    std::vector<uint64_t> requestsOfEndpoint_;
};

class System {
public:
    // Starts `endpoints` workers with one instance each, in four failure domains, and `entries` entries.
    System(rpc::Loop&, size_t endpoints, uint32_t slots, size_t entries, Behaviour);
    ~System();
    System(const System&) = delete;
    System& operator=(const System&) = delete;

    Address entry(size_t index) const { return entries_.at(index)->site().http_; }
    Address instance(size_t index) const { return site_.workers_.at(index).endpoints_.at(0).address_; }
    app::Agent& agent(size_t index) { return *agents_.at(index); }
    // Starts one more entry, which knows nothing yet, and gives its address.
    Address addEntry();
    // Replaces the agent of one worker, cutting off what it does.
    void restartAgent(size_t index);
    size_t agents() const { return agents_.size(); }
    Seen& seen() { return *seen_; }
    rpc::Loop& loop() { return loop_; }
    boost::asio::any_io_executor executor() { return loop_.context().get_executor(); }

private:
    void startInstance(size_t index, uint32_t slots);

    rpc::Loop& loop_;
    Behaviour behaviour_;
    settings::Site site_;
    std::shared_ptr<Seen> seen_ = std::make_shared<Seen>();
    std::unique_ptr<http::Server> platform_;
    std::vector<std::unique_ptr<http::Server>> instances_;
    std::vector<std::unique_ptr<app::Entry>> entries_;
    std::vector<std::unique_ptr<app::Agent>> agents_;
};

} // namespace persimmondoor::bench
