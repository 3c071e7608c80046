// Callers that send requests and note what became of them.
#pragma once

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/http/Client.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmondoor::bench {

// What became of the requests of one kind.
struct Tally {
    // Microseconds of the done ones.
    std::vector<int64_t> latencies_;
    uint64_t done_ { 0 };
    uint64_t notRun_ { 0 };
    uint64_t unknown_ { 0 };
    uint64_t failed_ { 0 };
    // Of those not run, by reason.
    std::map<std::string, uint64_t> reasons_;
    Duration elapsed_ { 0 };

    double milliseconds(double quantile);
    double perSecond() const;
};

// Connections to one address that are used again.
class Caller {
public:
    Caller(boost::asio::any_io_executor executor, Address address)
        : executor_(std::move(executor))
        , address_(std::move(address))
    {
    }

    // Sends one request and adds its outcome to `tally`.
    // Returns the text of the outcome header, or nothing if there was no answer.
    boost::asio::awaitable<std::string> send(http::Request request, std::shared_ptr<Tally> tally);

private:
    boost::asio::any_io_executor executor_;
    Address address_;
    std::vector<std::shared_ptr<http::Connection>> idle_;
};

// Sends `count` requests with `concurrency` at a time.
boost::asio::awaitable<void> sendClosed(boost::asio::any_io_executor, Address, http::Request request, int count, int concurrency, std::shared_ptr<Tally>);

// Sends requests at an even rate, whatever becomes of them, and returns when all have ended.
boost::asio::awaitable<void> sendOpen(boost::asio::any_io_executor, Address, http::Request request, int perSecond, Duration time, std::shared_ptr<Tally>);

} // namespace persimmondoor::bench
