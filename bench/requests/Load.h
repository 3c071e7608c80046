// Load generators that send requests and count their outcomes.
#pragma once

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/http/Client.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmondoor::bench {

// Outcomes of the requests of one kind.
struct Tally {
    // Latencies of the requests with outcome "done", in microseconds.
    std::vector<int64_t> latencies_;
    uint64_t done_ { 0 };
    uint64_t notRun_ { 0 };
    uint64_t unknown_ { 0 };
    // Requests without a response.
    uint64_t failed_ { 0 };
    // Number of requests with outcome "not-run", by reason.
    std::map<std::string, uint64_t> reasons_;
    Duration elapsed_ { 0 };

    // Returns a quantile of the latencies in milliseconds.
    double latencyMilliseconds(double quantile);
    // Returns the number of requests done per second.
    double perSecond() const;
};

// A client of one address, which reuses its idle connections.
class Caller {
public:
    Caller(boost::asio::any_io_executor executor, Address address)
        : executor_(std::move(executor))
        , address_(std::move(address))
    {
    }

    // Sends one request and adds its outcome to `tally`.
    // Returns the text of the outcome header, "done" for a response without that header, or nothing if there was no
    // response.
    boost::asio::awaitable<std::string> send(http::Request request, std::shared_ptr<Tally> tally);

private:
    boost::asio::any_io_executor executor_;
    Address address_;
    std::vector<std::shared_ptr<http::Connection>> idle_;
};

// Sends `count` requests in a closed loop: `concurrency` senders each send the next request after the last response.
boost::asio::awaitable<void> sendClosedLoop(boost::asio::any_io_executor, Address, http::Request request, int count, int concurrency, std::shared_ptr<Tally>);

// Sends requests in an open loop, at an even rate that does not depend on responses. Returns when all have ended.
boost::asio::awaitable<void> sendOpenLoop(boost::asio::any_io_executor, Address, http::Request request, int perSecond, Duration time, std::shared_ptr<Tally>);

} // namespace persimmondoor::bench
