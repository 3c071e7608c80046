// The scheduler while another entry leads the queues, and its claims to the leadership.
#include "Scheduler.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"

#include <random>

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

static constexpr Duration pingTimeout = std::chrono::milliseconds(400);
static constexpr Duration readTimeout = std::chrono::milliseconds(1000);
// A claim without a reply is read back after this time; a slow store takes up to 0.6 s for a write.
static constexpr Duration claimTimeout = std::chrono::milliseconds(800);

void Scheduler::follow(Following& role)
{
    bool mustCheck = std::holds_alternative<CheckRow>(nextStep(leadership_, time()));
    if (mustCheck && !role.isRowAccessInFlight_) {
        role.isRowAccessInFlight_ = true;
        spawnWork("check leader", checkRow(), RowReadCompleted { failedWork() });
    }
    if (std::optional<Address> leader = duePing(leadership_, time())) {
        leadership_ = beginPing(std::move(leadership_), *leader, time());
        spawnWork("ping", ping(*leader), PingCompleted { *leader, failedWork() });
    }
}

asio::awaitable<void> Scheduler::ping(Address to)
{
    auto self = shared_from_this();
    auto answer = co_await workflow::pingAt(linkTo(to), options_.self_, view(), pingTimeout);
    if (!answer.ok())
        links_.erase(to);
    PingCompleted completed { to, answer };
    co_await mailbox_.post(std::move(completed));
    if (answer.ok())
        co_return;
    // Other entries may still reach the leader; ask them for their view.
    for (const Address& peer : peers()) {
        if (peer == to)
            continue;
        auto view = co_await workflow::pingAt(linkTo(peer), options_.self_, this->view(), pingTimeout);
        if (!view.ok()) {
            links_.erase(peer);
            continue;
        }
        PingCompleted indirect { peer, std::move(view) };
        co_await mailbox_.post(std::move(indirect));
    }
}

asio::awaitable<void> Scheduler::announce(Address to)
{
    auto self = shared_from_this();
    auto answer = co_await workflow::pingAt(linkTo(to), options_.self_, view(), pingTimeout);
    // An entry that misses the announcement finds the new leader when it next reads the leader row.
    if (!answer.ok())
        links_.erase(to);
}

void Scheduler::handle(PingCompleted message)
{
    leadership_ = endPing(std::move(leadership_), message.to_);
    if (!message.answer_.ok()) {
        if (absl::IsUnavailable(message.answer_.status()) && message.to_ == leadership_.leader_)
            leadership_ = observeRefusal(std::move(leadership_), time());
        logWarning("leader.unanswered", { { "entry", message.to_.text() }, { "reason", std::string(message.answer_.status().message()) } });
        return;
    }
    peers_[message.to_] = time();
    for (const Address& peer : message.answer_->peers_)
        peers_.try_emplace(peer, time());
    workflow::LeaderEpoch before = leadership_.epoch_;
    leadership_ = observeView(std::move(leadership_), message.to_, message.answer_->leader_, time());
    if (leadership_.epoch_ > before)
        logInfo("leader.learnt", { { "epoch", std::to_string(leadership_.epoch_.value()) }, { "entry", leadership_.leader_ ? leadership_.leader_->text() : "" } });
    auto* leader = std::get_if<Leading>(&role_);
    if (leader && leadership_.epoch_ > leader->claim_.epoch_)
        stepDown("another entry leads under a later epoch");
}

asio::awaitable<void> Scheduler::checkRow()
{
    auto self = shared_from_this();
    auto row = co_await rows_.readRow(std::string(leaderRow), readTimeout);
    RowReadCompleted completed { std::move(row) };
    co_await mailbox_.post(std::move(completed));
}

void Scheduler::observeRow(const store::Row& row)
{
    LeaderClaim claim;
    if (row.version_ != store::RowVersion()) {
        auto decoded = decodeClaim(row.value_);
        if (!decoded.ok())
            logError("leader.unreadable", { { "reason", std::string(decoded.status().message()) } });
        else
            claim = *std::move(decoded);
    }
    workflow::LeaderEpoch before = leadership_.epoch_;
    leadership_ = scheduler::observeRow(std::move(leadership_), claim.epoch_, claim.address_, row.version_, time());
    if (leadership_.epoch_ > before)
        logInfo("leader.learnt", { { "epoch", std::to_string(leadership_.epoch_.value()) }, { "entry", leadership_.leader_ ? leadership_.leader_->text() : "" }, { "row_version", std::to_string(row.version_.value()) } });
}

// Draws a number that distinguishes claims of the same epoch.
static uint64_t drawNonce()
{
    static std::mt19937_64 generator { std::random_device {}() };
    // JSON numbers are exact only up to 53 bits.
    return generator() >> 12;
}

void Scheduler::handle(RowReadCompleted message)
{
    auto* role = std::get_if<Following>(&role_);
    if (!role)
        return;
    role->isRowAccessInFlight_ = false;
    if (!message.row_.ok()) {
        logWarning("store.lost", { { "reason", std::string(message.row_.status().message()) } });
        leadership_ = observeStoreFailure(std::move(leadership_));
        return;
    }
    observeRow(*message.row_);
    if (hasResigned_ || std::holds_alternative<KeepFollowing>(nextStep(leadership_, time())))
        return;
    role->isRowAccessInFlight_ = true;
    LeaderClaim claim { leadership_.epoch_.next(), options_.self_, drawNonce() };
    logInfo("leader.claim", { { "epoch", std::to_string(claim.epoch_.value()) }, { "row_version", std::to_string(message.row_->version_.value()) }, { "contact_age_ms", std::to_string((time() - leadership_.lastContactAt_).count() / 1000) }, { "write_age_ms", std::to_string((time() - leadership_.lastWriteAt_).count() / 1000) } });
    ClaimCompleted failure { claim, failedWork() };
    spawnWork("claim", this->claim(std::move(claim), message.row_->version_), std::move(failure));
}

asio::awaitable<void> Scheduler::claim(LeaderClaim claim, store::RowVersion version)
{
    auto self = shared_from_this();
    store::Transaction transaction { { { std::string(leaderRow), version } }, { store::Put { std::string(leaderRow), encodeClaim(claim) } } };
    store::CommitOutcome outcome = co_await rows_.commit(std::move(transaction), claimTimeout);
    ClaimCompleted completed { claim, absl::UnavailableError("the store refused the claim or was not reached") };
    if (const auto* committed = std::get_if<store::Committed>(&outcome))
        completed.row_ = store::Row { std::string(leaderRow), encodeClaim(claim), committed->version_ };
    else if (!std::holds_alternative<store::Unavailable>(outcome))
        completed.row_ = co_await rows_.readRow(std::string(leaderRow), readTimeout);
    co_await mailbox_.post(std::move(completed));
}

void Scheduler::handle(ClaimCompleted message)
{
    auto* role = std::get_if<Following>(&role_);
    if (!role)
        return;
    role->isRowAccessInFlight_ = false;
    if (!message.row_.ok()) {
        logWarning("leader.claim_failed", { { "epoch", std::to_string(message.claim_.epoch_.value()) }, { "reason", std::string(message.row_.status().message()) } });
        return;
    }
    auto holder = decodeClaim(message.row_->value_);
    if (!holder.ok() || *holder != message.claim_ || hasResigned_)
        return observeRow(*message.row_);
    logInfo("leader.won", { { "epoch", std::to_string(message.claim_.epoch_.value()) }, { "row_version", std::to_string(message.row_->version_.value()) } });
    leadership_.epoch_ = message.claim_.epoch_;
    leadership_.leader_ = options_.self_;
    leadership_.version_ = message.row_->version_;
    role_ = Loading { message.claim_, message.row_->version_, time() };
    spawnWork("load", load(message.claim_.epoch_), LoadCompleted { message.claim_.epoch_, failedWork() }, loadRetryInterval);
}

} // namespace persimmondoor::scheduler
