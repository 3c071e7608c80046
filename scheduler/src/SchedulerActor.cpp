#include "persimmondoor/scheduler/SchedulerActor.h"

#include "HungJobs.h"
#include "Scheduler.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

// Calls are refused at once while this many messages wait for the actor.
static constexpr size_t mailboxCapacity = 8192;
// Interval of the checks for waiting reports, retries and failover.
static constexpr Duration tickInterval = std::chrono::milliseconds(50);
// An entry without contact for this long is no longer a peer.
static constexpr Duration peerRetention = std::chrono::seconds(10);
// Without an answer after this time, the outcome of a relayed call is unknown.
static constexpr Duration relayTimeout = std::chrono::milliseconds(1500);
static constexpr Duration readTimeout = std::chrono::milliseconds(1000);
// The feed of the operators' table returns at least every 900 ms, also without changes; changes must be in force within
// 2 s.
static constexpr Duration maximumOperatorViewAge = std::chrono::milliseconds(1400);
// Leaders write at least twice a second; a slow store takes up to 0.6 s for a write.
static constexpr Duration maximumWriteAge = std::chrono::milliseconds(1400);
static constexpr Duration retryAfter = std::chrono::milliseconds(1000);

Scheduler::Scheduler(const asio::any_io_executor& executor, SchedulerOptions options)
    : executor_(executor)
    , options_(std::move(options))
    , mailbox_(executor, mailboxCapacity)
    , watch_({}, [store = options_.store_, name = options_.name_](const std::optional<JobId>& job, Duration took) { isolateJobAndExit(store, job, concat("a decision did not end within ", took.count() / 1000, " ms of processor time"), name); })
    , rows_(platform::RowStore::create(executor, options_.store_))
{
    leadership_.self_ = options_.self_;
    leadership_.processors_ = options_.processors_;
    for (const Address& peer : options_.peers_)
        peers_[peer] = time();
}

struct MessageVisitor {
    Scheduler& scheduler_;

    template <typename Message>
    void operator()(Message& message) const
    {
        scheduler_.handle(std::move(message));
    }
};

asio::awaitable<void> Scheduler::run()
{
    auto self = shared_from_this();
    for (;;) {
        SchedulerMessage message = co_await mailbox_.receive();
        handleWatched(message);
    }
}

void Scheduler::handleWatched(SchedulerMessage& message)
{
    watch_.begin();
    try {
        std::visit(MessageVisitor { *this }, message);
    } catch (const std::exception& error) {
        // A successor would decide about the same rows, and fail in the same way.
        isolateJobAndExit(options_.store_, watch_.trace().job(), concat("a decision failed: ", error.what()), options_.name_);
    }
    watch_.end();
}

asio::awaitable<void> Scheduler::tick()
{
    auto self = shared_from_this();
    while (mailbox_.isOpen()) {
        mailbox_.tryPost(SchedulerTick {});
        co_await sleepFor(tickInterval);
    }
}

asio::awaitable<void> Scheduler::postAfter(Duration delay, SchedulerMessage message)
{
    auto self = shared_from_this();
    if (delay > Duration(0))
        co_await sleepFor(delay);
    co_await mailbox_.post(std::move(message));
}

void Scheduler::spawnWork(std::string name, asio::awaitable<void> body, SchedulerMessage failure, Duration delay)
{
    auto self = shared_from_this();
    persimmondoor::spawnWork(executor_, std::move(name), std::move(body), [self, failure = std::move(failure), delay] { return self->postAfter(delay, failure); });
}

rpc::Link Scheduler::linkTo(const Address& address)
{
    return links_.try_emplace(address, executor_, address).first->second;
}

Leading* Scheduler::findLeading(workflow::LeaderEpoch epoch)
{
    auto* role = std::get_if<Leading>(&role_);
    return role && role->claim_.epoch_ == epoch ? role : nullptr;
}

workflow::LeaderView Scheduler::view() const
{
    return std::visit(Visitor { [&](const Following&) { return viewOf(leadership_, time()); },
                          [&](const Loading& role) { return workflow::LeaderView { role.claim_.epoch_, options_.self_, true, time() - role.claimWonAt_, Duration(0), time() }; },
                          [&](const Leading& role) { return workflow::LeaderView { role.claim_.epoch_, options_.self_, true, time() - role.lastWriteSentAt_, Duration(0), time() }; } },
        role_);
}

std::vector<Address> Scheduler::peers() const
{
    std::vector<Address> peers;
    for (const auto& [address, lastSeenAt] : peers_) {
        if (address != options_.self_ && time() - lastSeenAt < peerRetention)
            peers.push_back(address);
    }
    return peers;
}

template <typename Answer>
static asio::awaitable<void> sendReply(Reply<Answer> reply, Answer answer)
{
    reply.send(std::move(answer));
    co_return;
}

void Scheduler::handle(CallMessage message)
{
    if (auto* role = std::get_if<Leading>(&role_)) {
        if (hasExpired(message.call_, role->claim_.epoch_, time())) {
            const workflow::CallExpiry& expiry = *message.call_.expiry_;
            std::string lateness = expiry.epoch_ == role->claim_.epoch_ ? std::to_string((time() - expiry.at_).count() / 1000) : "unknown";
            logInfo("call.expired", { { "path", message.call_.path_ }, { "call_epoch", std::to_string(expiry.epoch_.value()) }, { "epoch", std::to_string(role->claim_.epoch_.value()) }, { "late_ms", lateness } });
            return message.reply_.send(workflow::NotLeader { "the call has expired on its way" });
        }
        // If the store has not confirmed the operators' view and a write of this leader lately, another entry may have taken over and
        // the operators may have changed the queues, so a queue or job that is unknown here may exist. The age of a view is that of
        // its arrival, which tells nothing if this process was suspended before it read the answer.
        bool mayBeOutdated = time() - role->operatorsConfirmedAt_ > maximumOperatorViewAge || time() - role->lastWriteSentAt_ > maximumWriteAge;
        if (mayBeOutdated && !workflow::concernsKnownJob(role->leaderState_, message.call_)) {
            // A job that cannot be stored is refused at once, so that its client is told when to come back.
            if (std::holds_alternative<workflow::Submit>(message.call_.verb_) && workflow::isStoreUnavailable(role->leaderState_, time()))
                return message.reply_.send(workflow::refuseUnstorable(role->leaderState_, time()));
            return message.reply_.send(workflow::NotLeader { "the store does not answer" });
        }
        role->lastToken_ = role->lastToken_.next();
        role->calls_.emplace(role->lastToken_, message.reply_);
        return decide(*role, workflow::CallArrived { role->lastToken_, std::move(message.call_), wallMilliseconds() });
    }
    bool canRelay = message.call_.mayRelay_ && std::holds_alternative<Following>(role_) && leadership_.leader_ && leadership_.leader_ != options_.self_;
    if (!canRelay)
        return message.reply_.send(workflow::NotLeader { "no leader of the queues is known" });
    Reply<workflow::ClientAnswer> reply = message.reply_;
    persimmondoor::spawnWork(executor_, "relay call", relay(std::move(message)), [reply] { return sendReply(reply, workflow::ClientAnswer(workflow::OutcomeUnknown { "the relay of the call has failed" })); });
}

asio::awaitable<void> Scheduler::relay(CallMessage message)
{
    auto self = shared_from_this();
    Address leader = *leadership_.leader_;
    // Once this entry has given its client's call up, no attempt of it may take effect.
    if (message.viaPeers_)
        message.call_.expiry_ = expiryOf(leadership_, time() + message.call_.timeLeft_);
    workflow::ClientCall direct = message.call_;
    direct.mayRelay_ = false;
    Duration limit = std::min(message.call_.timeLeft_, relayTimeout);
    auto answer = co_await workflow::callAt(linkTo(leader), std::move(direct), limit);
    bool mayHaveTakenEffect = !answer.ok() && !absl::IsUnavailable(answer.status());
    if (!answer.ok()) {
        logWarning("call.unanswered", { { "owner", leader.text() }, { "path", message.call_.path_ }, { "reason", std::string(answer.status().message()) } });
        links_.erase(leader);
    }
    // Other entries may reach the leader if this one does not. They would ask the same leader again if it has answered. A call
    // that may have arrived is repeated as well, as calls are idempotent.
    std::vector<Address> relays = message.viaPeers_ && !answer.ok() ? chooseRelays(peers(), leader, ++relayCount_) : std::vector<Address>();
    for (const Address& peer : relays) {
        if (mailbox_.isOpen() == false)
            break;
        workflow::ClientCall relayed = message.call_;
        answer = co_await workflow::callAt(linkTo(peer), std::move(relayed), limit);
        mayHaveTakenEffect = mayHaveTakenEffect || (!answer.ok() && !absl::IsUnavailable(answer.status())) || (answer.ok() && std::holds_alternative<workflow::OutcomeUnknown>(*answer));
        if (!answer.ok())
            links_.erase(peer);
        else
            break;
    }
    // An attempt without an answer may reach the leader after the one that was refused.
    bool isDenial = answer.ok() && workflow::deniesEffect(message.call_.verb_, *answer);
    if (mayHaveTakenEffect && isDenial)
        logInfo("call.denial_withheld", { { "owner", leader.text() }, { "path", message.call_.path_ }, { "answer", workflow::describe(*answer) }, { "reason", "an earlier attempt may still arrive" } });
    if (answer.ok() && !(mayHaveTakenEffect && (isDenial || std::holds_alternative<workflow::NotLeader>(*answer))))
        message.reply_.send(*std::move(answer));
    else if (mayHaveTakenEffect)
        message.reply_.send(workflow::OutcomeUnknown { "the leader of the queues did not answer" });
    else
        message.reply_.send(workflow::NotLeader { "the leader of the queues cannot be reached" });
}

void Scheduler::handle(ExchangeMessage message)
{
    if (auto* role = std::get_if<Leading>(&role_)) {
        std::string agent = message.report_.agent_;
        answerReports(*role, agent, true);
        role->reports_[agent].push_back({ time(), message.reply_ });
        return decide(*role, workflow::ReportArrived { std::move(message.report_) });
    }
    bool canRelay = message.report_.mayRelay_ && std::holds_alternative<Following>(role_) && leadership_.leader_ && leadership_.leader_ != options_.self_;
    if (!canRelay)
        return message.reply_.send(workflow::ExchangeAnswer { std::nullopt, view() });
    Reply<workflow::ExchangeAnswer> reply = message.reply_;
    persimmondoor::spawnWork(executor_, "relay report", relay(std::move(message)), [reply, view = view()] { return sendReply(reply, workflow::ExchangeAnswer { std::nullopt, view }); });
}

asio::awaitable<void> Scheduler::relay(ExchangeMessage message)
{
    auto self = shared_from_this();
    Address leader = *leadership_.leader_;
    message.report_.mayRelay_ = false;
    auto answer = co_await workflow::exchangeAt(linkTo(leader), std::move(message.report_), relayTimeout);
    if (answer.ok()) {
        message.reply_.send(*std::move(answer));
        co_return;
    }
    links_.erase(leader);
    message.reply_.send(workflow::ExchangeAnswer { std::nullopt, view() });
}

void Scheduler::handle(PingMessage message)
{
    peers_[message.from_] = time();
    leadership_ = observeView(std::move(leadership_), message.from_, message.view_, time());
    auto* role = std::get_if<Leading>(&role_);
    if (role && message.view_.epoch_ > role->claim_.epoch_)
        stepDown(concat("another entry reports the later epoch ", message.view_.epoch_.value()));
    message.reply_.send(workflow::PingAnswer { view(), peers() });
}

void Scheduler::handle(ReadyMessage message)
{
    if (hasResigned_)
        return message.reply_.send(false);
    if (auto* role = std::get_if<Leading>(&role_))
        return message.reply_.send(role->leaderState_.catalog_.version_ > 0);
    bool follows = std::holds_alternative<Following>(role_) && leadership_.leader_ && leadership_.leader_ != options_.self_;
    message.reply_.send(follows && time() - leadership_.lastContactAt_ < leadership_.tuning_.stallTimeout_);
}

static asio::awaitable<void> writeResignation(platform::RowStore rows, LeaderClaim claim, store::RowVersion version, Reply<bool> reply)
{
    claim.address_ = std::nullopt;
    store::Transaction transaction { { { std::string(leaderRow), version } }, { store::Put { std::string(leaderRow), encodeClaim(claim) } } };
    store::CommitOutcome outcome = co_await rows.commit(std::move(transaction), readTimeout);
    bool written = std::holds_alternative<store::Committed>(outcome);
    logInfo("leader.resigned", { { "epoch", std::to_string(claim.epoch_.value()) }, { "written", written ? "yes" : "no" } });
    reply.send(written);
}

void Scheduler::handle(ResignMessage message)
{
    hasResigned_ = true;
    auto* role = std::get_if<Leading>(&role_);
    if (!role)
        return message.reply_.send(false);
    LeaderClaim claim = role->claim_;
    store::RowVersion version = role->leaderRowVersion_;
    stepDown("this entry is shutting down");
    Reply<bool> reply = message.reply_;
    persimmondoor::spawnWork(executor_, "resign", writeResignation(rows_, std::move(claim), version, reply), [reply] { return sendReply(reply, false); });
}

SchedulerActor SchedulerActor::start(const asio::any_io_executor& executor, SchedulerOptions options)
{
    auto state = std::make_shared<State>();
    state->scheduler_ = std::make_shared<Scheduler>(executor, std::move(options));
    spawnActor(executor, "scheduler", state->scheduler_->run());
    spawnActor(executor, "scheduler ticks", state->scheduler_->tick());
    return SchedulerActor(std::move(state));
}

// Posts a message and waits for its reply; returns `refused` if the mailbox is full or closed.
template <typename Answer, typename Make>
static asio::awaitable<Answer> ask(std::shared_ptr<Scheduler> scheduler, Answer refused, Make make)
{
    Reply<Answer> reply(scheduler->executor());
    SchedulerMessage message = make(reply);
    if (!scheduler->mailbox().tryPost(std::move(message)))
        co_return refused;
    co_return co_await reply.receive();
}

asio::awaitable<workflow::ClientAnswer> SchedulerActor::call(workflow::ClientCall call, bool viaPeers) const
{
    workflow::ClientAnswer refused = workflow::NotAccepted { "the scheduler's mailbox is full", retryAfter };
    return ask(state_->scheduler_, std::move(refused), [call = std::move(call), viaPeers](Reply<workflow::ClientAnswer> reply) mutable { return CallMessage { std::move(call), viaPeers, reply }; });
}

asio::awaitable<workflow::ExchangeAnswer> SchedulerActor::exchange(workflow::AgentReport report) const
{
    return ask(state_->scheduler_, workflow::ExchangeAnswer {}, [report = std::move(report)](Reply<workflow::ExchangeAnswer> reply) mutable { return ExchangeMessage { std::move(report), reply }; });
}

asio::awaitable<workflow::PingAnswer> SchedulerActor::ping(Address from, workflow::LeaderView view) const
{
    return ask(state_->scheduler_, workflow::PingAnswer {}, [from = std::move(from), view = std::move(view)](Reply<workflow::PingAnswer> reply) mutable { return PingMessage { std::move(from), std::move(view), reply }; });
}

asio::awaitable<bool> SchedulerActor::isReady() const
{
    return ask(state_->scheduler_, false, [](Reply<bool> reply) { return ReadyMessage { reply }; });
}

asio::awaitable<void> SchedulerActor::resign() const
{
    bool written = co_await ask(state_->scheduler_, false, [](Reply<bool> reply) { return ResignMessage { reply }; });
    if (!written)
        logDebug("leader.resign_failed", { { "reason", "this entry does not lead, or the store did not confirm the write" } });
}

void SchedulerActor::stop() const
{
    state_->scheduler_->mailbox().close();
}

asio::awaitable<std::optional<Address>> locateLeader(platform::RowStore rows)
{
    auto row = co_await rows.readRow(std::string(leaderRow), readTimeout);
    if (!row.ok()) {
        logWarning("leader.unreadable", { { "reason", std::string(row.status().message()) } });
        co_return std::nullopt;
    }
    if (row->version_ == store::RowVersion())
        co_return std::nullopt;
    auto claim = decodeClaim(row->value_);
    if (!claim.ok()) {
        logWarning("leader.unreadable", { { "reason", std::string(claim.status().message()) } });
        co_return std::nullopt;
    }
    co_return claim->address_;
}

} // namespace persimmondoor::scheduler
