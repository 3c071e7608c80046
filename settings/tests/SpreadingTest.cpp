#include "persimmondoor/settings/Spreading.h"

#include "Fixtures.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/SettingsActor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

namespace persimmondoor::settings {

namespace asio = boost::asio;

static std::vector<Address> addresses(size_t count)
{
    std::vector<Address> list;
    for (size_t number = 0; number < count; ++number)
        list.push_back(*Address::parse(concat("127.0.0.1:", 1000 + number)));
    return list;
}

// Levels that a change passes until the last of `receivers` has it.
static int levelsFor(const std::vector<Address>& receivers)
{
    int levels = 0;
    for (PushBranch& branch : branchesOf(receivers)) {
        branch.erase(branch.begin());
        levels = std::max(levels, 1 + levelsFor(branch));
    }
    return levels;
}

// Processes that serve settings on loopback.
class Processes {
public:
    Processes(const asio::any_io_executor& executor, int count)
    {
        for (int number = 0; number < count; ++number) {
            trees_.emplace_back(executor, SteadyClock(), [this](const InForce&, Digest) { ++inForce_; });
            rpc::Interfaces interfaces;
            offerSettings(interfaces, executor, trees_.back());
            servers_.push_back(*rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces)));
        }
    }

    std::vector<Address> addresses() const
    {
        std::vector<Address> list;
        for (const auto& server : servers_)
            list.push_back(server->address());
        return list;
    }

    int inForce_ { 0 };

private:
    std::vector<SettingsActor> trees_;
    std::vector<std::unique_ptr<rpc::Server>> servers_;
};

static asio::awaitable<void> spreadAndWait(const Processes& processes, std::vector<Address> receivers, int expected)
{
    std::vector<Subtree> subtrees { fixtures::subtree("a", 1) };
    co_await spreadSubtrees(std::move(receivers), std::move(subtrees));
    // A failure shows as a timeout of the test.
    while (processes.inForce_ < expected)
        co_await sleepFor(std::chrono::milliseconds(5));
}

static int spreadTo(int processCount, bool withSilent)
{
    rpc::Loop loop;
    Processes processes(loop.context().get_executor(), processCount);
    std::vector<Address> receivers = processes.addresses();
    // Nobody listens there: the first in each branch.
    if (withSilent)
        receivers.insert(receivers.begin(), pushesPerProcess, *Address::parse("127.0.0.1:1"));
    asio::co_spawn(loop.context(), spreadAndWait(processes, receivers, processCount), [&](const std::exception_ptr& error) {
        BOOST_TEST(!error);
        loop.context().stop();
    });
    loop.context().run();
    return processes.inForce_;
}

BOOST_AUTO_TEST_SUITE(settings_spreading)

BOOST_AUTO_TEST_CASE(branches_hold_every_receiver_once)
{
    for (size_t count : { 0U, 1U, 15U, 16U, 17U, 6300U }) {
        std::vector<Address> receivers = addresses(count);
        std::vector<Address> seen;
        std::vector<PushBranch> branches = branchesOf(receivers);
        BOOST_TEST(branches.size() <= pushesPerProcess);
        for (const PushBranch& branch : branches) {
            BOOST_TEST(!branch.empty());
            seen.insert(seen.end(), branch.begin(), branch.end());
        }
        std::sort(seen.begin(), seen.end());
        std::sort(receivers.begin(), receivers.end());
        BOOST_TEST((seen == receivers));
    }
}

// With a second a level even four of them fit into the 16 s within which a change must be in force.
BOOST_AUTO_TEST_CASE(four_levels_reach_all_agents_of_the_largest_size)
{
    BOOST_TEST(levelsFor(addresses(6300)) <= 4);
}

BOOST_AUTO_TEST_CASE(change_reaches_processes_that_the_sender_does_not_call)
{
    BOOST_TEST(spreadTo(40, false) == 40);
}

BOOST_AUTO_TEST_CASE(process_that_does_not_answer_costs_nobody_the_change)
{
    BOOST_TEST(spreadTo(40, true) == 40);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::settings
