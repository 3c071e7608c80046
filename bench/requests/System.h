// A whole system in one process on loopback: entries, agents, and service instances with injected faults.
#pragma once

#include "persimmondoor/app/Agent.h"
#include "persimmondoor/app/Entry.h"
#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/store/StandinServer.h"

#include <map>
#include <random>

namespace persimmondoor::bench {

// Service time and injected faults of the service instances.
struct Behaviour {
    // Time that an instance takes to serve a request.
    Duration serviceTime_ { 0 };
    // Share of the requests that run but are answered with the id of another request, so that their outcome is unknown.
    double crossedShare_ { 0 };
    // Share of the requests that take 400 ms longer, and so exceed a deadline of 200 ms.
    double hangShare_ { 0 };
};

// Counts of the requests that the service instances received.
struct RequestCounts {
    // Number of runs of each request, by the request's body.
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
    // Starts another entry, which has received no announcements yet, and returns its address.
    Address addEntry();
    // Replaces the agent of one worker and thereby aborts the requests in flight at the agent.
    void restartAgent(size_t index);
    size_t agents() const { return agents_.size(); }
    RequestCounts& requestCounts() { return *requestCounts_; }
    rpc::Loop& loop() { return loop_; }
    boost::asio::any_io_executor executor() { return loop_.context().get_executor(); }

private:
    void startInstance(size_t index, uint32_t slots);

    rpc::Loop& loop_;
    Behaviour behaviour_;
    settings::Site site_;
    std::shared_ptr<RequestCounts> requestCounts_ = std::make_shared<RequestCounts>();
    std::unique_ptr<http::Server> platform_;
    std::vector<std::unique_ptr<http::Server>> instances_;
    std::vector<std::unique_ptr<app::Entry>> entries_;
    std::vector<std::unique_ptr<app::Agent>> agents_;
};

} // namespace persimmondoor::bench
