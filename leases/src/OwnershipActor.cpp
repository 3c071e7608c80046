#include "persimmondoor/leases/OwnershipActor.h"

#include "Rows.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/this_coro.hpp>
#include <deque>

namespace persimmondoor::leases {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16;
static constexpr size_t rowsPerScan = 1000;
static constexpr int releaseAttempts = 3;
static constexpr Duration releaseRetryInterval = std::chrono::milliseconds(300);

// Reads all rows of a prefix, page by page.
static asio::awaitable<absl::StatusOr<std::vector<store::Row>>> readAll(store::TableClient table, std::string prefix)
{
    std::vector<store::Row> all;
    for (;;) {
        store::Scan range { prefix, all.empty() ? "" : all.back().key_, rowsPerScan };
        auto page = co_await store::scan(table, std::move(range));
        if (!page.ok())
            co_return page.status();
        bool last = page->size() < rowsPerScan;
        all.insert(all.end(), std::make_move_iterator(page->begin()), std::make_move_iterator(page->end()));
        if (last)
            co_return all;
    }
}

static void logMalformedRows(const std::vector<store::Row>& partitions)
{
    for (const store::Row& row : partitions) {
        if (!decodePartitionRow(row.value_).ok())
            logError("ownership.malformed_row", { { "key", row.key_ } });
    }
}

static asio::awaitable<OwnershipMessage> readRows(store::TableClient table)
{
    auto partitions = co_await readAll(table, std::string(partitionPrefix));
    if (!partitions.ok())
        co_return ReadFailed {};
    logMalformedRows(*partitions);
    auto owners = co_await readAll(table, std::string(ownerPrefix));
    if (!owners.ok())
        co_return ReadFailed {};
    co_return RowsRead { *std::move(partitions), *std::move(owners) };
}

static asio::awaitable<void> tick(Mailbox<OwnershipActor::Message> mailbox, Duration wait)
{
    co_await sleepFor(wait);
    mailbox.tryPost(OwnershipActor::Tick {});
}

static store::Transaction transactionOf(const OwnershipAction& action)
{
    return std::visit(Visitor {
                          [](const WriteHeartbeat& write) { return write.transaction_; },
                          [](const Claim& claim) { return claim.transaction_; },
                          [](const ReleasePartitions& release) { return release.transaction_; },
                          [](const auto&) { return store::Transaction(); },
                      },
        action);
}

static OwnershipMessage messageOf(const OwnershipAction& action, store::CommitOutcome outcome)
{
    if (const auto* claim = std::get_if<Claim>(&action))
        return ClaimEnded { claim->partition_, std::move(outcome) };
    if (std::holds_alternative<ReleasePartitions>(action))
        return ReleaseEnded { std::move(outcome) };
    return HeartbeatEnded { std::move(outcome) };
}

namespace {

    class OwnershipLoop {
    public:
        OwnershipLoop(asio::any_io_executor executor, Clock clock, store::TableClient table, Ownership state, OwnershipListener listener, Mailbox<OwnershipActor::Message> mailbox)
            : executor_(std::move(executor))
            , clock_(std::move(clock))
            , table_(std::move(table))
            , state_(std::move(state))
            , listener_(std::move(listener))
            , mailbox_(std::move(mailbox))
        {
        }

        asio::awaitable<void> run(std::shared_ptr<OwnershipLoop> self)
        {
            // Messages are named variables, because the compiler destroys a braced argument of an awaited call twice.
            const OwnershipMessage due = StepDue {};
            co_await self->step(due);
            for (;;) {
                spawn(executor_, "ownership tick", tick(mailbox_, state_.stepInterval()));
                OwnershipActor::Message message = co_await mailbox_.receive();
                if (auto* release = std::get_if<OwnershipActor::ReleasePartitions>(&message)) {
                    co_await self->releaseAll();
                    release->done_.send(true);
                    co_return;
                }
                co_await self->step(due);
            }
        }

    private:
        // Handles `message`, then performs the resulting actions one at a time and handles the outcome of each.
        asio::awaitable<void> step(OwnershipMessage message)
        {
            std::deque<OwnershipAction> actions;
            for (;;) {
                OwnershipDecision decision = decide(std::move(state_), message, now(clock_));
                state_ = std::move(decision.state_);
                actions.insert(actions.end(), std::make_move_iterator(decision.actions_.begin()), std::make_move_iterator(decision.actions_.end()));
                while (!actions.empty() && std::holds_alternative<NotifyListener>(actions.front())) {
                    notify(std::get<NotifyListener>(actions.front()).change_);
                    actions.pop_front();
                }
                if (actions.empty())
                    co_return;
                OwnershipAction action = std::move(actions.front());
                actions.pop_front();
                message = co_await perform(std::move(action));
            }
        }

        asio::awaitable<OwnershipMessage> perform(OwnershipAction action)
        {
            if (std::holds_alternative<ReadRows>(action))
                co_return co_await readRows(table_);
            if (auto* release = std::get_if<ReleasePartitions>(&action))
                lastRelease_ = release->transaction_;
            store::CommitOutcome outcome = co_await store::commit(table_, transactionOf(action));
            co_return messageOf(action, std::move(outcome));
        }

        asio::awaitable<void> releaseAll()
        {
            OwnershipMessage requested = ReleaseRequested {};
            co_await step(std::move(requested));
            for (int attempt = 1; attempt < releaseAttempts && !state_.hasLeft(); ++attempt) {
                co_await sleepFor(releaseRetryInterval);
                store::CommitOutcome outcome = co_await store::commit(table_, lastRelease_);
                OwnershipMessage ended = ReleaseEnded { std::move(outcome) };
                co_await step(std::move(ended));
            }
            if (!state_.hasLeft())
                logWarning("ownership.not_given_back", { { "process", state_.settings().process_.value() } });
        }

        void notify(const OwnershipChange& change)
        {
            std::visit(Visitor {
                           [](const Gained& gained) {
                               logInfo("ownership.gained", { { "partition", std::to_string(gained.partition_.value()) }, { "epoch", std::to_string(gained.epoch_.value()) } });
                           },
                           [](const Lost& lost) { logInfo("ownership.lost", { { "partition", std::to_string(lost.partition_.value()) } }); },
                           [](const Extended&) {},
                       },
                change);
            listener_(change);
        }

        asio::any_io_executor executor_;
        Clock clock_;
        store::TableClient table_;
        Ownership state_;
        OwnershipListener listener_;
        Mailbox<OwnershipActor::Message> mailbox_;
        store::Transaction lastRelease_;
    };

} // namespace

absl::StatusOr<OwnershipActor> OwnershipActor::create(const asio::any_io_executor& executor, Clock clock, store::TableClient table, OwnershipSettings settings, OwnershipListener listener)
{
    auto state = Ownership::create(settings);
    if (!state.ok())
        return state.status();
    Mailbox<Message> mailbox(executor, mailboxCapacity);
    auto loop = std::make_shared<OwnershipLoop>(executor, std::move(clock), std::move(table), *std::move(state), std::move(listener), mailbox);
    spawnActor(executor, "ownership", loop->run(loop));
    return OwnershipActor(std::move(mailbox));
}

asio::awaitable<void> OwnershipActor::release() const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<bool> done(co_await asio::this_coro::executor);
    if (mailbox.tryPost(ReleasePartitions { done }))
        co_await done.receive();
    mailbox.close();
}

} // namespace persimmondoor::leases
