#include "persimmondoor/settings/PushTree.h"

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

// Depth of the push tree: levels that a change passes until the last of `receivers` has it.
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

static asio::awaitable<void> pushAndWait(const Processes& processes, std::vector<Address> receivers, int expected)
{
    std::vector<Subtree> subtrees { fixtures::subtree("a", 1) };
    co_await pushSubtrees(std::move(receivers), std::move(subtrees));
    // If a process never receives the change, this loop does not end and the test times out.
    while (processes.inForce_ < expected)
        co_await sleepFor(std::chrono::milliseconds(5));
}

static int pushTo(int processCount, bool withUnreachable)
{
    rpc::Loop loop;
    Processes processes(loop.context().get_executor(), processCount);
    std::vector<Address> receivers = processes.addresses();
    // Makes the first process of each branch an address where no process listens.
    if (withUnreachable)
        receivers.insert(receivers.begin(), pushesPerProcess, *Address::parse("127.0.0.1:1"));
    asio::co_spawn(loop.context(), pushAndWait(processes, receivers, processCount), [&](const std::exception_ptr& error) {
        BOOST_TEST(!error);
        loop.context().stop();
    });
    loop.context().run();
    return processes.inForce_;
}

BOOST_AUTO_TEST_SUITE(settings_push_tree)

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

// A change must be in force within 16 s. Four levels fit even if each takes a second.
BOOST_AUTO_TEST_CASE(four_levels_reach_all_agents_of_the_largest_size)
{
    BOOST_TEST(levelsFor(addresses(6300)) <= 4);
}

BOOST_AUTO_TEST_CASE(change_reaches_processes_that_the_sender_does_not_call)
{
    BOOST_TEST(pushTo(40, false) == 40);
}

BOOST_AUTO_TEST_CASE(unreachable_process_does_not_keep_the_change_from_others)
{
    BOOST_TEST(pushTo(40, true) == 40);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::settings
