#include "persimmondoor/routing/ClaimsActor.h"

#include "ClaimCodec.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

#include <boost/asio/this_coro.hpp>
#include <deque>
#include <set>

namespace persimmondoor::routing {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 4096;
// Lost replies after which the rest of a batch is answered as failed.
static constexpr int maximumLostReplies = 4;
// Bounds the transactions of one batch. Each conflict decides at least one change, unless the row changes again in the
// meantime.
static constexpr size_t maximumRounds = 2 * claimsPerBatch;
// Time after its deadline within which the reply to a change may still arrive.
static constexpr Duration replyGrace = std::chrono::milliseconds(100);
static constexpr Duration sweepInterval = std::chrono::seconds(5);
static constexpr size_t rowsPerSweep = 1000;

static ClaimVerdict storeUnavailable(const std::string& detail)
{
    return ClaimRefused { NotRun { NotRunReason::StoreUnavailable, detail } };
}

namespace {

    using Change = ClaimsActor::Change;

    // Writes the changes of one batch and answers each change exactly once.
    class Batch {
    public:
        Batch(Clock clock, store::TableClient table, std::vector<Change> changes)
            : clock_(std::move(clock))
            , table_(std::move(table))
            , changes_(std::move(changes))
        {
        }

        asio::awaitable<void> write()
        {
            int lostReplies = 0;
            for (size_t round = 0; round < maximumRounds && !changes_.empty() && lostReplies < maximumLostReplies; ++round) {
                store::CommitOutcome outcome = co_await store::commit(table_, transaction());
                if (std::holds_alternative<store::ReplyLost>(outcome))
                    ++lostReplies;
                co_await handle(std::move(outcome));
            }
            failAll("the table service did not confirm the change: too many lost replies or conflicts");
        }

    private:
        asio::awaitable<void> handle(store::CommitOutcome outcome)
        {
            std::vector<std::string> undecided;
            if (const auto* committed = std::get_if<store::Committed>(&outcome))
                co_await succeedAll(committed->version_);
            if (const auto* unavailable = std::get_if<store::Unavailable>(&outcome))
                failAll(unavailable->detail_);
            if (const auto* conflict = std::get_if<store::Conflict>(&outcome))
                undecided.push_back(conflict->key_);
            // After a lost reply the outcome is unknown: the rows show whether the transaction took effect.
            if (std::holds_alternative<store::ReplyLost>(outcome))
                undecided = keys();
            if (!undecided.empty())
                co_await resolve(std::move(undecided));
        }

        store::Transaction transaction() const
        {
            store::Transaction result;
            for (const Change& change : changes_) {
                result.conditions_.push_back({ change.claim_.key_, change.expected_ });
                if (change.kind_ == ClaimsActor::Kind::Release)
                    result.writes_.emplace_back(store::Erase { change.claim_.key_ });
                else
                    result.writes_.emplace_back(store::Put { change.claim_.key_, change.value_ });
            }
            return result;
        }

        std::vector<std::string> keys() const
        {
            std::vector<std::string> result;
            for (const Change& change : changes_)
                result.push_back(change.claim_.key_);
            return result;
        }

        asio::awaitable<void> succeedAll(store::RowVersion version)
        {
            std::vector<Change> changes = std::exchange(changes_, {});
            for (Change& change : changes)
                co_await succeed(change, version);
        }

        // A claim that was committed after the deadline of its request is released again, because the request is
        // answered "not run".
        asio::awaitable<void> succeed(Change change, store::RowVersion version)
        {
            bool isLate = change.kind_ == ClaimsActor::Kind::Claim && now(clock_) > change.deadline_;
            if (!isLate) {
                change.reply_.send(ClaimMade { version });
                co_return;
            }
            change.reply_.send(storeUnavailable("the table service committed the claim after the deadline"));
            store::Transaction release;
            release.conditions_.push_back({ change.claim_.key_, version });
            release.writes_.emplace_back(store::Erase { change.claim_.key_ });
            co_await store::commit(table_, std::move(release));
        }

        void failAll(const std::string& detail)
        {
            for (const Change& change : changes_)
                change.reply_.send(storeUnavailable(detail));
            changes_.clear();
        }

        // Reads the rows and answers the changes that they decide; the others remain for the next transaction.
        asio::awaitable<void> resolve(std::vector<std::string> keys)
        {
            auto rows = co_await store::read(table_, std::move(keys));
            if (!rows.ok()) {
                failAll(std::string(rows.status().message()));
                co_return;
            }
            for (const store::Row& row : *rows) {
                auto found = std::find_if(changes_.begin(), changes_.end(), [&](const Change& change) { return change.claim_.key_ == row.key_; });
                if (found == changes_.end() || remainsPending(*found, row))
                    continue;
                Change change = std::move(*found);
                changes_.erase(found);
                co_await answer(change, row);
            }
        }

        // True if the change has not taken effect and can be retried. Sets the version that a retried claim expects.
        static bool remainsPending(Change& change, const store::Row& row)
        {
            if (change.kind_ != ClaimsActor::Kind::Claim)
                return row.version_ == change.expected_;
            if (row.version_ == store::RowVersion()) {
                change.expected_ = row.version_;
                return true;
            }
            auto decoded = decodeClaim(row.value_);
            if (!decoded.ok())
                return false;
            ClaimVerdict verdict = evaluateClaim(change.claim_, *decoded, row.version_, wallMilliseconds());
            const auto* expired = std::get_if<ClaimExpired>(&verdict);
            if (expired)
                change.expected_ = expired->version_;
            return expired != nullptr;
        }

        asio::awaitable<void> answer(Change change, store::Row row)
        {
            if (change.kind_ != ClaimsActor::Kind::Claim) {
                change.reply_.send(ClaimMade { row.version_ });
                co_return;
            }
            auto decoded = decodeClaim(row.value_);
            if (!decoded.ok()) {
                change.reply_.send(storeUnavailable(std::string(decoded.status().message())));
                co_return;
            }
            ClaimVerdict verdict = evaluateClaim(change.claim_, *decoded, row.version_, wallMilliseconds());
            if (std::holds_alternative<ClaimMade>(verdict))
                co_await succeed(std::move(change), row.version_);
            else
                change.reply_.send(std::move(verdict));
        }

        Clock clock_;
        store::TableClient table_;
        std::vector<Change> changes_;
    };

    class ClaimsLoop {
    public:
        ClaimsLoop(asio::any_io_executor executor, Clock clock, store::TableClient table, Mailbox<ClaimsActor::Message> mailbox)
            : executor_(std::move(executor))
            , clock_(std::move(clock))
            , table_(std::move(table))
            , mailbox_(std::move(mailbox))
        {
        }

        asio::awaitable<void> run(std::shared_ptr<ClaimsLoop> self)
        {
            for (;;) {
                ClaimsActor::Message message = co_await mailbox_.receive();
                std::visit([&](auto& alternative) { self->handle(alternative); }, message);
                self->startBatch();
            }
        }

    private:
        void handle(Change& change)
        {
            waiting_.push_back(std::move(change));
            if (!hasStartedSweep_) {
                hasStartedSweep_ = true;
                spawn(executor_, "claims sweep", postSweep(mailbox_, ""));
            }
        }

        void handle(const ClaimsActor::BatchEnded&) { isWriting_ = false; }

        // The sweep starts with the first change, so that an entry without claims does not read the table.
        void handle(const ClaimsActor::SweepDue& due) { spawn(executor_, "claims sweep", sweep(mailbox_, table_, due.after_)); }

        void startBatch()
        {
            if (isWriting_ || waiting_.empty())
                return;
            isWriting_ = true;
            spawn(executor_, "claims batch", writeBatch(mailbox_, Batch(clock_, table_, nextBatch())));
        }

        // Takes the changes of the next transaction from the queue, at most one for each row.
        std::vector<Change> nextBatch()
        {
            std::vector<Change> batch;
            std::deque<Change> rest;
            std::set<std::string> keys;
            for (Change& change : waiting_) {
                if (batch.size() < claimsPerBatch && keys.insert(change.claim_.key_).second)
                    batch.push_back(std::move(change));
                else
                    rest.push_back(std::move(change));
            }
            waiting_ = std::move(rest);
            return batch;
        }

        static asio::awaitable<void> writeBatch(Mailbox<ClaimsActor::Message> mailbox, Batch batch)
        {
            Clock clock = SteadyClock();
            Instant start = now(clock);
            co_await batch.write();
            Duration rest = claimBatchInterval - (now(clock) - start);
            if (rest > Duration(0))
                co_await sleepFor(rest);
            ClaimsActor::Message ended = ClaimsActor::BatchEnded {};
            co_await mailbox.post(std::move(ended));
        }

        static asio::awaitable<void> postSweep(Mailbox<ClaimsActor::Message> mailbox, std::string after)
        {
            co_await sleepFor(sweepInterval);
            ClaimsActor::Message due = ClaimsActor::SweepDue { std::move(after) };
            co_await mailbox.post(std::move(due));
        }

        // Erases the expired rows of the page after `after` and schedules the sweep of the next page.
        static asio::awaitable<void> sweep(Mailbox<ClaimsActor::Message> mailbox, store::TableClient table, std::string after)
        {
            store::Scan range { "claim/", after, rowsPerSweep };
            auto rows = co_await store::scan(table, std::move(range));
            if (rows.ok()) {
                after = rows->size() < rowsPerSweep ? std::string() : rows->back().key_;
                co_await eraseExpired(table, *std::move(rows));
            }
            co_await postSweep(std::move(mailbox), std::move(after));
        }

        static asio::awaitable<void> eraseExpired(store::TableClient table, std::vector<store::Row> rows)
        {
            store::Transaction erase;
            for (const store::Row& row : rows) {
                auto decoded = decodeClaim(row.value_);
                if (!decoded.ok() || !isExpired(*decoded, wallMilliseconds()))
                    continue;
                erase.conditions_.push_back({ row.key_, row.version_ });
                erase.writes_.emplace_back(store::Erase { row.key_ });
            }
            // A transaction that failed or whose reply was lost needs no retry: the next sweep finds the rows again.
            if (!erase.writes_.empty())
                co_await store::commit(table, std::move(erase));
        }

        asio::any_io_executor executor_;
        Clock clock_;
        store::TableClient table_;
        Mailbox<ClaimsActor::Message> mailbox_;
        std::deque<Change> waiting_;
        bool isWriting_ { false };
        bool hasStartedSweep_ { false };
    };

} // namespace

ClaimsActor::ClaimsActor(const asio::any_io_executor& executor, Clock clock, store::TableClient table)
    : clock_(clock)
    , mailbox_(executor, mailboxCapacity)
{
    auto loop = std::make_shared<ClaimsLoop>(executor, std::move(clock), std::move(table), mailbox_);
    spawnActor(executor, "claims", loop->run(loop));
}

static asio::awaitable<absl::StatusOr<ClaimVerdict>> receive(Reply<ClaimVerdict> reply)
{
    co_return co_await reply.receive();
}

asio::awaitable<ClaimVerdict> ClaimsActor::submit(Change change) const
{
    Mailbox<Message> mailbox = mailbox_;
    Duration limit = change.deadline_ - now(clock_) + replyGrace;
    Reply<ClaimVerdict> reply = change.reply_;
    if (!mailbox.tryPost(std::move(change)))
        co_return storeUnavailable("the queue of claims for the table service is full");
    auto verdict = co_await withTimeout(receive(std::move(reply)), limit);
    if (!verdict.ok())
        co_return storeUnavailable("the table service did not answer before the deadline");
    co_return *std::move(verdict);
}

asio::awaitable<ClaimVerdict> ClaimsActor::claim(ClaimRequest claim, Duration limit) const
{
    Reply<ClaimVerdict> reply(co_await asio::this_coro::executor);
    ClaimRow row { claim.claimant_, claim.digest_, wallMilliseconds(), ClaimState::Open, {} };
    Change change { Kind::Claim, std::move(claim), store::RowVersion(), encodeClaim(row), now(clock_) + limit, reply };
    co_return co_await submit(std::move(change));
}

asio::awaitable<void> ClaimsActor::keepAnswer(ClaimRequest claim, store::RowVersion version, Done answer) const
{
    Reply<ClaimVerdict> reply(co_await asio::this_coro::executor);
    std::string value = encodeClaim(withAnswer(claim, answer, wallMilliseconds()));
    Change change { Kind::KeepAnswer, std::move(claim), version, std::move(value), now(clock_) + claimTimeout, reply };
    if (!mailbox_.tryPost(std::move(change)))
        logWarning("claims.answer_not_kept", {});
}

asio::awaitable<void> ClaimsActor::release(ClaimRequest claim, store::RowVersion version) const
{
    Reply<ClaimVerdict> reply(co_await asio::this_coro::executor);
    Change change { Kind::Release, std::move(claim), version, "", now(clock_) + claimTimeout, reply };
    ClaimVerdict verdict = co_await submit(std::move(change));
    if (!std::holds_alternative<ClaimMade>(verdict))
        logWarning("claims.not_released", {});
}

static asio::awaitable<RequestOutcome> runClaimed(ClaimsActor claims, RouterActor router, admission::ServiceRequest request, ClaimRequest claim)
{
    Clock clock = SteadyClock();
    Instant start = now(clock);
    Duration limit = request.timeLeft_ > Duration(0) ? request.timeLeft_ : claimTimeout;
    ClaimVerdict verdict = co_await claims.claim(claim, limit);
    if (auto* refused = std::get_if<ClaimRefused>(&verdict))
        co_return std::move(refused->outcome_);
    store::RowVersion version = std::get<ClaimMade>(verdict).version_;
    if (request.timeLeft_ > Duration(0))
        request.timeLeft_ = std::max(Duration(1), request.timeLeft_ - (now(clock) - start));
    RequestOutcome outcome = co_await router.route(std::move(request));
    if (std::holds_alternative<NotRun>(outcome))
        co_await claims.release(std::move(claim), version);
    else if (const auto* done = std::get_if<Done>(&outcome))
        co_await claims.keepAnswer(std::move(claim), version, *done);
    co_return outcome;
}

static asio::awaitable<void> runAndReply(ClaimsActor claims, RouterActor router, admission::ServiceRequest request, ClaimRequest claim, Reply<RequestOutcome> reply)
{
    RequestOutcome outcome = co_await runClaimed(std::move(claims), std::move(router), std::move(request), std::move(claim));
    reply.send(std::move(outcome));
}

asio::awaitable<RequestOutcome> routeClaimed(ClaimsActor claims, RouterActor router, admission::ServiceRequest request, std::string key)
{
    auto claim = makeClaimRequest(request, key);
    if (!claim.ok())
        co_return NotRun { NotRunReason::BadRequest, std::string(claim.status().message()) };
    asio::any_io_executor executor = co_await asio::this_coro::executor;
    Reply<RequestOutcome> reply(executor);
    spawn(executor, "claimed request", runAndReply(std::move(claims), std::move(router), std::move(request), *std::move(claim), reply));
    co_return co_await reply.receive();
}

} // namespace persimmondoor::routing
