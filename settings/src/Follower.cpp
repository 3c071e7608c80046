#include "persimmondoor/settings/Follower.h"

#include "Remote.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/settings/Store.h"

#include <boost/asio/this_coro.hpp>

namespace persimmondoor::settings {

namespace asio = boost::asio;

// Fetches newer subtrees from `source` and applies them to `settings`. Returns false if that failed.
static asio::awaitable<bool> fetchInto(SettingsActor settings, Address source)
{
    Snapshot snapshot = co_await settings.snapshot();
    rpc::Link link(co_await asio::this_coro::executor, source);
    auto newer = co_await fetchNewer(std::move(link), std::move(snapshot.tree_));
    if (!newer.ok()) {
        logDebug("settings.fetch_failed", { { "source", source.text() }, { "error", std::string(newer.status().message()) } });
        co_return false;
    }
    co_return settings.apply(*std::move(newer));
}

static asio::awaitable<void> follow(Mailbox<Address> sources, SettingsActor settings)
{
    for (;;) {
        Address source = co_await sources.receive();
        co_await fetchInto(settings, std::move(source));
    }
}

Follower::Follower(const asio::any_io_executor& executor, SettingsActor settings)
    : sources_(executor, 1)
{
    spawn(executor, "settings follower", follow(sources_, std::move(settings)));
}

void Follower::hint(const Address& entry, const Hint& hint) const
{
    std::visit(Visitor {
                   [](const UpToDate&) {},
                   [](const AskAgain&) {},
                   [&](const FetchHere&) { sources_.tryPost(entry); },
                   [&](const FetchFrom& from) { sources_.tryPost(from.source_); },
               },
        hint);
}

static asio::awaitable<bool> askPeers(SettingsActor settings, std::vector<Address> peers)
{
    for (const Address& peer : peers) {
        if (co_await fetchInto(settings, peer))
            co_return true;
    }
    co_return false;
}

// Reads the store once. Returns false if the read failed or the subtrees were dropped.
static asio::awaitable<bool> poll(SettingsActor settings, store::TableClient table)
{
    Snapshot snapshot = co_await settings.snapshot();
    auto newer = co_await loadNewer(std::move(table), std::move(snapshot.tree_));
    if (newer.ok())
        co_return settings.apply(*std::move(newer));
    logWarning("settings.store_unreadable", { { "error", std::string(newer.status().message()) } });
    co_return false;
}

// Writes the seeds that `tree` lacks. Returns false if the store did not confirm all of them.
static asio::awaitable<bool> seed(store::TableClient table, Tree tree, std::vector<Seed> seeds)
{
    bool confirmed = true;
    for (const Seed& item : seeds) {
        if (tree.revisionOf(item.name_) > Revision())
            continue;
        absl::Status status = co_await seedSubtree(table, item.name_, item.text_);
        confirmed = confirmed && status.ok();
    }
    co_return confirmed;
}

asio::awaitable<void> synchronizeSettings(SettingsActor settings, store::TableClient table, std::vector<Address> peers, std::vector<Seed> seeds)
{
    bool seeded = seeds.empty();
    for (;;) {
        bool read = co_await poll(settings, table);
        Snapshot snapshot = co_await settings.snapshot();
        if (read && !seeded) {
            seeded = co_await seed(table, snapshot.tree_, seeds);
            read = co_await poll(settings, table);
        }
        if (!read && !snapshot.isKnown_)
            read = co_await askPeers(settings, peers);
        co_await sleepFor(read && seeded ? storePollInterval : firstPollInterval);
    }
}

} // namespace persimmondoor::settings
