// An agent and an owner's connection to it in one process. Measures bytes on the wire, both directions together.
#pragma once

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/hosting/Client.h"
#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/rpc/Loop.h"

#include <boost/asio/co_spawn.hpp>
#include <optional>
#include <vector>

namespace persimmondoor::hosting {

// Bytes of one renewal for `tasks_` tasks of a partition: with equal digests, with different digests, and with the
// start events of all new tasks.
struct RenewalBytes {
    uint64_t tasks_ { 0 };
    uint64_t equalDigests_ { 0 };
    uint64_t differentDigests_ { 0 };
    uint64_t events_ { 0 };
};

class HostBench {
public:
    HostBench();

    // Starts tasks until `tasks` run, then measures their renewals.
    RenewalBytes measureRenewals(uint64_t tasks);
    // Bytes of one probe and its answer.
    uint64_t measureProbe();
    // Bytes of one start order and its answer.
    uint64_t measureStart();

private:
    boost::asio::any_io_executor executor() { return loop_.context().get_executor(); }

    template <typename T>
    T run(boost::asio::awaitable<T> body)
    {
        std::optional<T> result;
        boost::asio::co_spawn(executor(), std::move(body), [&](const std::exception_ptr&, T value) { result = std::move(value); });
        while (!result && loop_.context().run_one() > 0) { }
        return *std::move(result);
    }

    Stamp stamp();
    void start(const StartOrder&);
    StartOrder nextOrder();
    RenewalAnswer renew(const Renewal&, uint64_t& bytes);
    // Returns the bytes sent so far, after handling all messages in flight.
    uint64_t settledBytes();

    rpc::Loop loop_;
    Resources capacity_ = *Resources::create(1'000'000, 1'000'000, 0);
    store::MemoryWorkers workers_ = store::MemoryWorkers::create(SteadyClock());
    std::optional<HostActor> host_;
    std::unique_ptr<rpc::Server> server_;
    std::optional<rpc::Link> link_;
    std::vector<TaskAttempt> running_;
};

} // namespace persimmondoor::hosting
