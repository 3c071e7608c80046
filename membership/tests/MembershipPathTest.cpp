// Announcements, keepalives and the exchange between entries over real connections, and the size of the messages.
#include "Codec.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/membership/Announcer.h"
#include "persimmondoor/rpc/Call.h"
#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/rpc/Loop.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>

using namespace persimmondoor;
using namespace persimmondoor::membership;
namespace asio = boost::asio;

namespace {

Announcement announcementOf(const std::string& worker, size_t endpoints)
{
    Announcement announcement { WorkerName::of(worker), FailureDomainName::of("domain-a"), RackName::of("rack-a1"), Incarnation(1'764'836'000'000), Sequence(1),
        *Address::parse("10.12.34.56:7100"), {}, false };
    for (size_t index = 0; index < endpoints; ++index)
        announcement.endpoints_.push_back({ EndpointName::of("packs-" + std::to_string(1000 + index)), ServiceName::of("packs"), TeamName::of("lankacell"), 8, 64 });
    return announcement;
}

// An entry: its view and the RPC server that offers it.
struct Entry {
    explicit Entry(const asio::any_io_executor& executor, const settings::Hint& hint = settings::UpToDate {})
        : present_(std::make_shared<std::set<std::string>>())
        , view_(executor, SteadyClock(), [present = present_](ViewAction action) { return recordAction(present, std::move(action)); })
    {
        rpc::Interfaces interfaces;
        offerMembership(interfaces, view_, [hint](const settings::DigestAnnouncement&) { return answerWith(hint); });
        server_ = *rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces));
    }

    static asio::awaitable<void> recordAction(std::shared_ptr<std::set<std::string>> present, ViewAction action)
    {
        if (const auto* up = std::get_if<WorkerUp>(&action))
            present->insert(up->announcement_.worker_.value());
        if (const auto* gone = std::get_if<WorkerGone>(&action))
            present->erase(gone->worker_.value());
        co_return;
    }

    static asio::awaitable<settings::Hint> answerWith(settings::Hint hint) { co_return hint; }

    std::shared_ptr<std::set<std::string>> present_;
    ViewActor view_;
    std::unique_ptr<rpc::Server> server_;
};

struct Fixture {
    template <typename Condition>
    void runUntil(Condition condition)
    {
        for (int round = 0; round < 1500 && !condition(); ++round) {
            loop_.context().restart();
            loop_.context().run_for(std::chrono::milliseconds(5));
        }
        BOOST_TEST(condition());
    }

    // Mean bytes on the wire, in both directions, of one call on an established connection.
    template <typename Call>
    uint64_t bytesOf(Call call)
    {
        auto calls = std::make_shared<int>(0);
        uint64_t before = 0;
        constexpr int warmUp = 3;
        constexpr int measured = 20;
        spawn(executor_, "calls", repeat(call, calls, warmUp));
        runUntil([&] { return *calls == warmUp; });
        before = rpc::bytesSent();
        *calls = 0;
        spawn(executor_, "calls", repeat(call, calls, measured));
        runUntil([&] { return *calls == measured; });
        return (rpc::bytesSent() - before) / measured;
    }

    template <typename Call>
    static asio::awaitable<void> repeat(Call call, std::shared_ptr<int> calls, int count)
    {
        for (int index = 0; index < count; ++index) {
            co_await call();
            ++*calls;
        }
    }

    // Adds so many other workers that keepalives become rare.
    void joinOthers(const Entry& entry)
    {
        constexpr size_t others = 200;
        auto join = [](ViewActor view) -> asio::awaitable<void> {
            for (size_t number = 0; number < others; ++number) {
                Announcement announcement = announcementOf("other-" + std::to_string(number), 1);
                ViewMessage message = Announced { announcement };
                co_await view.handle(std::move(message), announcement.worker_, announcement.incarnation_);
            }
        };
        spawn(executor_, "others", join(entry.view_));
        runUntil([&] { return entry.present_->size() == others; });
    }

    // True if an agent that never gets newer settings asks the entry three times, long before its keepalives are due.
    bool asksAgain(const Entry& entry)
    {
        auto hints = std::make_shared<int>(0);
        Announcer announcer(executor_, { entry.server_->address() }, announcementOf("w1", 1), [hints](const Address&, const settings::Hint&) { ++*hints; });
        runUntil([&] { return *hints >= 3; });
        announcer.stop();
        return *hints >= 3;
    }

    rpc::Loop loop_;
    asio::any_io_executor executor_ = loop_.context().get_executor();
};

asio::awaitable<void> sendAnnouncement(rpc::Link link, Announcement announcement)
{
    auto found = co_await link.find("membership");
    auto request = found->castAs<wire::Membership>().announceRequest();
    encode(announcement, request.initAnnouncement());
    co_await rpc::call(request.send(), [](auto&) { return true; });
}

asio::awaitable<void> sendKeepAlive(rpc::Link link)
{
    auto found = co_await link.find("membership");
    auto request = found->castAs<wire::Membership>().keepAliveRequest();
    request.setWorker("worker-6300");
    request.setIncarnation(1'764'836'000'000);
    request.setSequence(86'400'000'000);
    co_await rpc::call(request.send(), [](auto&) { return true; });
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership_path, Fixture)

BOOST_AUTO_TEST_CASE(announced_worker_is_present_until_it_leaves)
{
    Entry entry(executor_);
    Announcer announcer(executor_, { entry.server_->address() }, announcementOf("w1", 1));
    runUntil([&] { return entry.present_->contains("w1"); });
    announcer.leave();
    runUntil([&] { return entry.present_->empty(); });
    announcer.stop();
}

// An entry that has just started has no connection to any agent. It must receive its peer's tombstones as well as the
// members; else a late announcement would add a worker that has left.
BOOST_AUTO_TEST_CASE(started_entry_fetches_members_from_its_peer)
{
    Entry first(executor_);
    Announcer staying(executor_, { first.server_->address() }, announcementOf("w1", 1));
    Announcer leaving(executor_, { first.server_->address() }, announcementOf("w2", 1));
    runUntil([&] { return first.present_->size() == 2; });
    leaving.leave();
    runUntil([&] { return first.present_->size() == 1; });
    Entry second(executor_);
    fetchMembersFromPeers(second.view_, { first.server_->address() });
    runUntil([&] { return second.present_->contains("w1"); });
    auto late = std::make_shared<std::optional<ViewAnswer>>();
    auto announceLate = [](ViewActor view, std::shared_ptr<std::optional<ViewAnswer>> into) -> asio::awaitable<void> {
        Announcement announcement = announcementOf("w2", 1);
        ViewMessage message = Announced { announcement };
        *into = co_await view.handle(std::move(message), announcement.worker_, announcement.incarnation_);
    };
    spawn(executor_, "late", announceLate(second.view_, late));
    runUntil([&] { return late->has_value(); });
    BOOST_TEST(!second.present_->contains("w2"));
}

// A restarted entry has an empty view. The agent's next keepalive fails or is answered with "not known", and the agent
// must then send its full announcement again.
BOOST_AUTO_TEST_CASE(restarted_entry_receives_the_announcement_again)
{
    auto entry = std::make_unique<Entry>(executor_);
    Address address = entry->server_->address();
    Announcer announcer(executor_, { address }, announcementOf("w1", 1));
    runUntil([&] { return entry->present_->contains("w1"); });
    entry->server_->close();
    entry->view_.stop();
    Entry restarted(executor_);
    rpc::Interfaces interfaces;
    offerMembership(interfaces, restarted.view_);
    auto server = rpc::Server::listen(executor_, address, std::move(interfaces));
    BOOST_REQUIRE(server.ok());
    runUntil([&] { return restarted.present_->contains("w1"); });
    announcer.stop();
}

// Guards against an agent that takes a busy entry for one without newer settings, and waits for its next keepalive, 20 s
// later among 200 agents.
BOOST_AUTO_TEST_CASE(agent_that_is_told_to_ask_again_does_so_before_its_next_keepalive)
{
    Entry entry(executor_, settings::AskAgain {});
    joinOthers(entry);
    BOOST_TEST(asksAgain(entry));
}

BOOST_AUTO_TEST_CASE(message_sizes_are_within_the_byte_budget)
{
    Entry entry(executor_);
    rpc::Link link(executor_, entry.server_->address());
    auto keepAliveCall = [link] { return sendKeepAlive(link); };
    BOOST_TEST(bytesOf(keepAliveCall) <= keepAliveBytes);
    // An announcement of eight endpoints stays within a node's budget of control traffic for one second.
    Announcement eight = announcementOf("worker-6300", 8);
    auto announceCall = [link, eight] { return sendAnnouncement(link, eight); };
    BOOST_TEST(bytesOf(announceCall) <= 4096U);
}

BOOST_AUTO_TEST_SUITE_END()
