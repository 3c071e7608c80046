#include "persimmondoor/burn/BurnActor.h"

#include "Metrics.h"
#include "Rows.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <set>

namespace persimmondoor::burn {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 16384;
static constexpr size_t maximumRows = 1'000;
static constexpr int64_t millisecondsPerMinute = 60'000;
// The report names an entry as missing if its last row is older than this number of minutes.
static constexpr uint64_t staleAfterMinutes = 3;

static Minute currentMinute()
{
    return Minute(static_cast<uint64_t>(wallMilliseconds() / millisecondsPerMinute));
}

using Rows = absl::StatusOr<std::vector<store::Row>>;

// Reads all rows whose key starts with `prefix`, page by page.
static asio::awaitable<Rows> scanAll(store::TableClient table, std::string prefix)
{
    std::vector<store::Row> all;
    store::Scan range;
    range.prefix_ = prefix;
    range.limit_ = maximumRows;
    for (;;) {
        Rows page = co_await store::scan(table, range);
        if (!page.ok())
            co_return page;
        std::move(page->begin(), page->end(), std::back_inserter(all));
        if (page->size() < maximumRows)
            co_return all;
        range.after_ = all.back().key_;
    }
}

namespace {

    class BurnLoop {
    public:
        BurnLoop(BurnOptions options, Mailbox<BurnActor::Message> mailbox)
            : options_(std::move(options))
            , mailbox_(std::move(mailbox))
        {
        }

        static asio::awaitable<void> run(std::shared_ptr<BurnLoop> self)
        {
            asio::any_io_executor executor = co_await asio::this_coro::executor;
            for (;;) {
                BurnActor::Message message = co_await self->mailbox_.receive();
                std::visit([&](const auto& alternative) { handle(self, executor, alternative); }, message);
            }
        }

    private:
        using Self = std::shared_ptr<BurnLoop>;

        static void handle(const Self& self, const asio::any_io_executor&, const TeamDefined& message)
        {
            self->levels_ = decide(std::move(self->levels_), message, currentMinute());
            self->teams_.insert_or_assign(message.team_, message);
        }

        static void handle(const Self& self, const asio::any_io_executor&, const BurnActor::RequestEnded& message)
        {
            self->levels_ = decide(std::move(self->levels_), message.observed_, currentMinute());
            self->metrics_.add(message.observed_.service_, message.outcome_, message.observed_.latency_);
        }

        static void handle(const Self& self, const asio::any_io_executor&, const BurnActor::AskMetrics& message)
        {
            message.reply_.send(message.asJSON_ ? self->metrics_.json() : self->metrics_.text());
        }

        static void handle(const Self& self, const asio::any_io_executor& executor, const BurnActor::AskReport& message)
        {
            spawn(executor, "burn report", answerReport(self, message.reply_));
        }

        static void handle(const Self& self, const asio::any_io_executor& executor, const BurnActor::SaveDue&)
        {
            if (!self->isSaving_)
                spawn(executor, "burn save", save(self));
        }

        // Adds the saved counts to `levels`, except those of rows whose key starts with `excludedPrefix`, if not empty.
        static Levels withRows(Levels levels, const std::vector<store::Row>& rows, const std::string& excludedPrefix)
        {
            Minute now = currentMinute();
            for (const store::Row& row : rows) {
                if (!excludedPrefix.empty() && row.key_.starts_with(excludedPrefix))
                    continue;
                for (const Restored& restored : decodeRow(row).counts_)
                    levels = decide(std::move(levels), restored, now);
            }
            return levels;
        }

        static std::vector<std::string> describeMissing(const Self& self, const Rows& rows)
        {
            std::vector<std::string> missing;
            if (!self->hasRestored_)
                missing.push_back("this entry has not yet read back the counts that it saved before its start");
            if (!rows.ok()) {
                missing.push_back(concat("the saved counts of the other entries could not be read: ", std::string(rows.status().message())));
                return missing;
            }
            std::map<std::string, Minute> savedAt;
            for (const store::Row& row : *rows) {
                std::string entry = row.key_.substr(rowPrefix.size(), row.key_.rfind('/') - rowPrefix.size());
                savedAt[entry] = std::max(savedAt[entry], decodeRow(row).savedAt_);
            }
            Minute now = currentMinute();
            for (const ProcessName& entry : self->options_.entries_) {
                if (entry == self->options_.self_)
                    continue;
                auto found = savedAt.find(entry.value());
                if (found == savedAt.end())
                    missing.push_back(concat(entry.value(), " has saved no counts"));
                else if (found->second.value() + staleAfterMinutes < now.value())
                    missing.push_back(concat(entry.value(), " has saved no counts for ", now.value() - found->second.value(), " minutes"));
            }
            return missing;
        }

        static asio::awaitable<void> answerReport(Self self, Reply<BurnReport> reply)
        {
            Rows rows = co_await scanAll(self->options_.table_, std::string(rowPrefix));
            Levels levels = rows.ok() ? withRows(self->levels_, *rows, rowPrefixOf(self->options_.self_)) : self->levels_;
            reply.send(makeReport(levels, currentMinute(), describeMissing(self, rows)));
        }

        // Reads back the rows that this entry saved before its start, and only then writes the first one: otherwise a
        // row would be overwritten with lower counts.
        static asio::awaitable<void> save(Self self)
        {
            self->isSaving_ = true;
            if (!self->hasRestored_) {
                Rows rows = co_await scanAll(self->options_.table_, rowPrefixOf(self->options_.self_));
                if (rows.ok() && !self->teams_.empty()) {
                    self->levels_ = withRows(std::move(self->levels_), *rows, "");
                    self->hasRestored_ = true;
                }
            }
            if (self->hasRestored_)
                co_await write(self);
            self->isSaving_ = false;
        }

        static asio::awaitable<void> write(Self self)
        {
            Minute now = currentMinute();
            store::Transaction transaction;
            transaction.writes_.emplace_back(store::Put { rowKey(self->options_.self_, now), encodeRow(self->levels_, now) });
            store::CommitOutcome outcome = co_await store::commit(self->options_.table_, std::move(transaction));
            if (!std::holds_alternative<store::Committed>(outcome))
                logWarning("burn.not_saved", {});
        }

        BurnOptions options_;
        Mailbox<BurnActor::Message> mailbox_;
        Levels levels_;
        std::map<TeamName, TeamDefined> teams_;
        Metrics metrics_;
        bool hasRestored_ { false };
        bool isSaving_ { false };
    };

} // namespace

static asio::awaitable<void> tick(Mailbox<BurnActor::Message> mailbox)
{
    do
        co_await sleepFor(saveInterval);
    while (mailbox.tryPost(BurnActor::SaveDue {}));
}

BurnActor::BurnActor(const asio::any_io_executor& executor, BurnOptions options)
    : mailbox_(executor, mailboxCapacity)
{
    auto loop = std::make_shared<BurnLoop>(std::move(options), mailbox_);
    spawnActor(executor, "burn", BurnLoop::run(loop));
    spawn(executor, "burn tick", tick(mailbox_));
}

void BurnActor::define(const settings::TeamSettings& team) const
{
    TeamDefined message { team.team_, {} };
    for (const settings::ServiceSettings& service : team.services_) {
        if (service.objective_)
            message.objectives_.push_back({ service.name_, service.tier_, service.objective_->share_, service.objective_->latency_, service.objective_->window_ });
    }
    if (!mailbox_.tryPost(std::move(message)))
        logWarning("burn.mailbox_full", {});
}

void BurnActor::observe(Observed observed, std::string outcome) const
{
    if (!mailbox_.tryPost(RequestEnded { std::move(observed), std::move(outcome) }))
        logWarning("burn.mailbox_full", {});
}

asio::awaitable<BurnReport> BurnActor::report() const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<BurnReport> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(AskReport { reply }))
        co_return BurnReport();
    co_return co_await reply.receive();
}

asio::awaitable<std::string> BurnActor::metrics(bool asJSON) const
{
    Mailbox<Message> mailbox = mailbox_;
    Reply<std::string> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(AskMetrics { asJSON, reply }))
        co_return std::string();
    co_return co_await reply.receive();
}

} // namespace persimmondoor::burn
