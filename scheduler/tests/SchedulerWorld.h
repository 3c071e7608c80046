// Test fixture: several entries and a stand-in for the store on one event loop.
#pragma once

#include "StoreStandin.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/scheduler/Front.h"
#include "persimmondoor/scheduler/SchedulerActor.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace persimmondoor::scheduler {

// Returns an address with a port that was free when this was called.
inline Address findFreeAddress(const boost::asio::any_io_executor& executor)
{
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), {});
    BOOST_REQUIRE(server.ok());
    return (*server)->address();
}

class SchedulerWorld {
public:
    explicit SchedulerWorld(size_t entries)
        : store_(*platform::StoreStandin::start(executor(), *Address::parse("127.0.0.1:0")))
    {
        store_->configure("h.example", "/tests/", "packs");
        std::vector<Address> addresses;
        for (size_t index = 0; index < entries; ++index)
            addresses.push_back(findFreeAddress(executor()));
        for (const Address& address : addresses)
            startEntry(address, addresses);
    }

    boost::asio::any_io_executor executor() { return loop_.context().get_executor(); }
    platform::StoreStandin& store() { return *store_; }
    const SchedulerActor& entry(size_t index) const { return entries_[index].scheduler_; }
    const Address& address(size_t index) const { return entries_[index].address_; }

    // Stops the entry's server and scheduler at once, as if its process had been killed.
    void kill(size_t index)
    {
        entries_[index].server_->close();
        entries_[index].scheduler_.stop();
    }

    // Runs `body` on the loop; the test fails if `body` does not end within `limit`.
    void run(boost::asio::awaitable<void> body, Duration limit = std::chrono::seconds(20))
    {
        bool ended = false;
        boost::asio::co_spawn(loop_.context(), std::move(body), [&](const std::exception_ptr& error) {
            ended = true;
            loop_.context().stop();
            if (error)
                std::rethrow_exception(error);
        });
        loop_.context().restart();
        loop_.context().run_for(std::chrono::duration_cast<std::chrono::milliseconds>(limit));
        BOOST_REQUIRE_MESSAGE(ended, "the test did not end in time");
    }

private:
    struct Entry {
        Address address_;
        SchedulerActor scheduler_;
        std::unique_ptr<rpc::Server> server_;
    };

    void startEntry(const Address& address, const std::vector<Address>& all)
    {
        auto scheduler = SchedulerActor::start(executor(), { "entry", address, all, { "north", "south" }, {}, store_->address() });
        rpc::Interfaces interfaces;
        workflow::offerScheduler(interfaces, executor(), { [scheduler](workflow::ClientCall call) { return scheduler.call(std::move(call), false); }, [scheduler](workflow::AgentReport report) { return scheduler.exchange(std::move(report)); }, [scheduler](Address from, workflow::LeaderView view) { return scheduler.ping(std::move(from), std::move(view)); } });
        auto server = rpc::Server::listen(executor(), address, std::move(interfaces));
        BOOST_REQUIRE(server.ok());
        entries_.push_back({ address, scheduler, *std::move(server) });
    }

    rpc::Loop loop_;
    std::shared_ptr<platform::StoreStandin> store_;
    std::vector<Entry> entries_;
};

} // namespace persimmondoor::scheduler
