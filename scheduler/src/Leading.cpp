// The scheduler while it leads the queues: loads them, writes decisions, and steps down when another entry leads.
#include "HungJobs.h"
#include "QueueRows.h"
#include "Scheduler.h"

#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Metrics.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

// Time-out of reading the chain row, which shows the outcome of a commit without a reply; a slow store takes up to 0.4 s
// for a read.
static constexpr Duration chainReadTimeout = std::chrono::milliseconds(800);
// Without other writes the leader commits an empty batch this often, which shows that it still leads.
static constexpr Duration renewalInterval = std::chrono::milliseconds(500);
// A report is answered after this time even without new orders; each answer renews the leases of the agent's workers.
static constexpr Duration reportWait = std::chrono::milliseconds(450);
// The time-out of a commit is this multiple of the average duration of commits, within the bounds below. A commit
// without a reply is read back after it.
static constexpr int64_t commitTimeoutFactor = 6;
static constexpr Duration minimumCommitTimeout = std::chrono::milliseconds(150);
static constexpr Duration maximumCommitTimeout = std::chrono::milliseconds(2000);
// Slower commits are logged, as they delay every step of every job; about 12 ms are usual.
static constexpr Duration slowCommitThreshold = std::chrono::milliseconds(100);
static constexpr Duration refusedRetryInterval = std::chrono::milliseconds(60);

// Interference estimates are written at most this often; a successor without the newest values estimates them again
// within seconds.
static constexpr Duration estimatesWriteInterval = std::chrono::seconds(2);
// A row holds at most 64 KiB in base64, which adds a third to the value.
static constexpr size_t maximumEstimatesBytes = 40'000;

asio::awaitable<void> Scheduler::load(workflow::LeaderEpoch epoch)
{
    auto self = shared_from_this();
    auto loaded = co_await readQueueRows(rows_);
    if (!loaded.ok())
        co_await sleepFor(loadRetryInterval);
    LoadCompleted completed { epoch, std::move(loaded) };
    co_await mailbox_.post(std::move(completed));
}

void Scheduler::handle(LoadCompleted message)
{
    auto* role = std::get_if<Loading>(&role_);
    if (!role || role->claim_.epoch_ != message.epoch_)
        return;
    if (!message.rows_.ok()) {
        logWarning("queues.unreadable", { { "epoch", std::to_string(message.epoch_.value()) }, { "reason", std::string(message.rows_.status().message()) } });
        if (hasResigned_ || time() - role->claimWonAt_ > leadership_.tuning_.stallTimeout_)
            return stepDown("the rows of the queues cannot be read");
        spawnWork("load", load(message.epoch_), LoadCompleted { message.epoch_, failedWork() }, loadRetryInterval);
        return;
    }
    size_t jobs = message.rows_->jobs_.size();
    Leading leading;
    leading.claim_ = role->claim_;
    leading.leaderRowVersion_ = role->leaderRowVersion_;
    leading.chainVersion_ = message.rows_->chainVersion_;
    leading.lastWriteSentAt_ = role->claimWonAt_;
    leading.storeClock_ = message.rows_->clock_;
    workflow::LeaseBounds bounds = restoreLeaseBounds(options_.tuning_, message.rows_->chain_, message.rows_->silentWorkers_, message.rows_->clock_, role->claimWonAt_);
    leading.leaderState_ = workflow::restoreState(message.epoch_, options_.tuning_, std::move(message.rows_->jobs_), bounds, time(), &watch_.trace());
    leading.leaderState_.unreadableJobs_ = std::move(message.rows_->unreadableJobs_);
    workflow::restoreEarlyCancellations(leading.leaderState_, message.rows_->earlyCancellations_, time());
    leading.leaderState_.interference_ = std::move(message.rows_->interference_);
    leading.leaderState_.lastDurableWriteAt_ = role->claimWonAt_;
    logInfo("queues.loaded", { { "epoch", std::to_string(message.epoch_.value()) }, { "jobs", std::to_string(jobs) }, { "open", std::to_string(leading.leaderState_.openJobs_.size()) }, { "unreadable", std::to_string(leading.leaderState_.unreadableJobs_.size()) }, { "took_ms", std::to_string((time() - role->claimWonAt_).count() / 1000) } });
    role_ = std::move(leading);
    auto& leader = std::get<Leading>(role_);
    updateOperators(leader, message.rows_->operators_);
    // The peers include the former leader, which may have lost the store and not know that another entry leads now.
    for (const Address& peer : peers())
        spawn(executor_, "announce", announce(peer));
    auto self = shared_from_this();
    workflow::LeaderEpoch epoch = message.epoch_;
    spawnActor(executor_, "operators", followOperators(
                                           rows_, leader.operators_, [self, epoch] { return self->findLeading(epoch) != nullptr; }, [self, epoch](OperatorView view) -> asio::awaitable<void> {
                                          OperatorsRead read { epoch, std::move(view) };
                                          co_await self->mailbox_.post(std::move(read)); }));
}

void Scheduler::updateOperators(Leading& role, const OperatorView& view)
{
    if (view.version_ < role.operators_.version_)
        return;
    role.operatorsConfirmedAt_ = time();
    if (view == role.operators_ && role.leaderState_.catalog_.version_ > 0)
        return;
    auto before = role.operators_.rows_.find(platform::configurationRow());
    auto row = view.rows_.find(platform::configurationRow());
    bool changed = row != view.rows_.end() && (before == role.operators_.rows_.end() || before->second.version_ != row->second.version_);
    store::Row configuration = changed ? row->second : store::Row();
    role.operators_ = view;
    if (changed) {
        auto catalog = platform::decodeCatalog(configuration.value_);
        if (catalog.ok())
            decide(role, workflow::CatalogChanged { *std::move(catalog) });
        else
            logError("configuration.unreadable", { { "row_version", std::to_string(configuration.version_.value()) }, { "reason", std::string(catalog.status().message()) } });
    }
    decide(role, workflow::EvacuationsChanged { evacuatedDomains(view) });
}

void Scheduler::handle(OperatorsRead message)
{
    if (Leading* role = findLeading(message.epoch_)) {
        updateOperators(*role, message.view_);
        // A commit that was refused because of an outdated view can be retried now.
        commitIfDue(*role);
    }
}

namespace {

    struct ActionVisitor {
        Leading& role_;
        std::set<std::string>& agentsToAnswer_;

        void operator()(workflow::AnswerClient& answer) const
        {
            auto call = role_.calls_.find(answer.token_);
            if (call == role_.calls_.end())
                return;
            call->second.send(std::move(answer.answer_));
            role_.calls_.erase(call);
        }
        void operator()(const workflow::AnswerAgent& answer) const { agentsToAnswer_.insert(answer.agent_); }
        void operator()(const workflow::RecordLatency& observation) const { recordLatency(observation.name_, observation.latency_); }
        void operator()(const workflow::LogEvent& logEvent) const { logInfo(logEvent.event_, { { "subject", logEvent.subject_ }, { "detail", logEvent.detail_ } }); }
    };

} // namespace

void Scheduler::decide(Leading& role, const workflow::LeaderMessage& message)
{
    workflow::Decision decision = workflow::decide(std::move(role.leaderState_), message, time(), &watch_.trace());
    role.leaderState_ = std::move(decision.state_);
    std::set<std::string> agentsToAnswer;
    for (workflow::LeaderAction& action : decision.actions_)
        std::visit(ActionVisitor { role, agentsToAnswer }, action);
    for (const std::string& agent : agentsToAnswer)
        answerReports(role, agent, false);
    commitIfDue(role);
}

// Answers the agent's waiting reports, oldest first, while a reply is due; all of them if `all`.
void Scheduler::answerReports(Leading& role, const std::string& agent, bool all)
{
    auto waiting = role.reports_.find(agent);
    if (waiting == role.reports_.end() || role.leaderState_.agents_.count(agent) == 0)
        return;
    while (!waiting->second.empty() && (all || workflow::isReplyDue(role.leaderState_, agent, time()))) {
        WaitingReport report = std::move(waiting->second.front());
        waiting->second.pop_front();
        report.reply_.send(workflow::ExchangeAnswer { workflow::makeReportReply(role.leaderState_, agent, time()), view() });
    }
}

void Scheduler::handle(SchedulerTick)
{
    if (auto* role = std::get_if<Following>(&role_))
        return follow(*role);
    auto* role = std::get_if<Leading>(&role_);
    if (!role)
        return;
    std::vector<std::string> due;
    for (const auto& [agent, waiting] : role->reports_) {
        if (!waiting.empty() && time() - waiting.front().receivedAt_ > reportWait)
            due.push_back(agent);
    }
    for (const std::string& agent : due)
        answerReports(*role, agent, true);
    decide(*role, workflow::Tick { wallMilliseconds() });
}

static bool needsOperators(const workflow::Batch& batch)
{
    return std::any_of(batch.items_.begin(), batch.items_.end(), [](const workflow::Batch::Item& item) {
        bool starts = std::any_of(item.staged_.effects_.begin(), item.staged_.effects_.end(), [](const workflow::Effect& effect) { return std::holds_alternative<workflow::ReleaseStart>(effect); });
        return item.staged_.writesRecord_ || starts;
    });
}

std::string Scheduler::encodeSilentWorkersOf(Leading& role, const workflow::Batch& batch)
{
    std::map<workflow::WorkerIncarnation, std::pair<Instant, int64_t>> bounds;
    SilentWorkers silent;
    for (const auto& [incarnation, leaseEnd] : batch.silentWorkers_) {
        auto known = role.silentWorkerReadings_.find(incarnation);
        // The same bound keeps its reading, so that the row is written only when the workers change.
        bool isKnown = known != role.silentWorkerReadings_.end() && known->second.first == leaseEnd;
        std::optional<int64_t> reading = isKnown ? known->second.second : latestReadingAt(role.storeClock_, leaseEnd);
        if (!reading || silent.leaseEndsMs_.size() >= maximumSilentWorkers)
            break;
        bounds[incarnation] = { leaseEnd, *reading };
        silent.leaseEndsMs_[incarnation] = *reading;
    }
    role.silentWorkerReadings_ = std::move(bounds);
    return encodeSilentWorkers(silent);
}

store::Transaction Scheduler::transactionOf(const Leading& role, const PendingCommit& pending) const
{
    const workflow::Batch& batch = pending.batch_;
    store::Transaction transaction { { { std::string(leaderRow), role.leaderRowVersion_ }, { std::string(chainRow), role.chainVersion_ } }, { store::Put { std::string(chainRow), pending.chain_ } } };
    if (role.storedSilentWorkers_ != pending.silentWorkers_)
        transaction.writes_.emplace_back(store::Put { std::string(silentWorkersRow), pending.silentWorkers_ });
    if (needsOperators(batch)) {
        for (store::Condition& condition : conditionsOf(role.operators_, options_.domains_))
            transaction.conditions_.push_back(std::move(condition));
    }
    for (const workflow::Batch::Item& item : batch.items_) {
        auto progress = workflow::progressOf(role.leaderState_, item.job_);
        const workflow::StagedJob& staged = item.staged_;
        if (staged.writesCancellation_ && role.leaderState_.earlyCancellations_.count(item.job_) > 0)
            transaction.writes_.emplace_back(store::Put { cancellationRow(item.job_), "" });
        else if (staged.writesCancellation_)
            transaction.writes_.emplace_back(store::Erase { cancellationRow(item.job_) });
        bool hasJobRows = progress || staged.isRemoved_ || staged.writesRecord_ || !staged.writesCancellation_;
        if (!hasJobRows)
            continue;
        if (!progress) {
            transaction.writes_.emplace_back(store::Erase { recordRow(item.job_) });
            transaction.writes_.emplace_back(store::Erase { progressRow(item.job_) });
            continue;
        }
        if (staged.writesRecord_)
            transaction.writes_.emplace_back(store::Put { recordRow(item.job_), workflow::encodeRecord(role.leaderState_.jobs_.at(item.job_).record_) });
        transaction.writes_.emplace_back(store::Put { progressRow(item.job_), workflow::encodeProgressWithin(workflow::maximumRowBytes, *progress) });
    }
    return transaction;
}

void Scheduler::writeEstimates(Leading& role, store::Transaction& transaction) const
{
    if (time() - role.estimatesCheckedAt_ < estimatesWriteInterval)
        return;
    role.estimatesCheckedAt_ = time();
    std::string value = workflow::encodeInterference(role.leaderState_.interference_);
    if (value == role.writtenEstimates_ || value.size() > maximumEstimatesBytes)
        return;
    role.writtenEstimates_ = value;
    transaction.writes_.emplace_back(store::Put { std::string(estimatesRow), std::move(value) });
}

void Scheduler::commitIfDue(Leading& role)
{
    if (role.pendingCommit_ || time() < role.nextCommitAt_)
        return;
    // The first transaction stores the bound without which no leases are granted.
    bool isDue = role.commitCount_ == 0 || !role.leaderState_.stagedOrder_.empty() || role.leaderState_.hasLeaseChanges_ || time() - role.lastWriteSentAt_ >= renewalInterval;
    if (!isDue)
        return;
    PendingCommit pending { ++role.commitCount_, workflow::extractBatch(role.leaderState_, role.batchJobs_), time(), "", "" };
    int64_t leaseEndMs = latestReadingAt(role.storeClock_, workflow::leaseBoundAfterWrite(options_.tuning_, pending.sentAt_)).value_or(0);
    pending.chain_ = encodeChain({ role.claim_.epoch_, pending.number_, leaseEndMs });
    pending.silentWorkers_ = encodeSilentWorkersOf(role, pending.batch_);
    store::Transaction transaction = transactionOf(role, pending);
    writeEstimates(role, transaction);
    role.pendingCommit_ = std::move(pending);
    spawnWork("commit", commit(role.claim_.epoch_, std::move(transaction), role.commitTimeout_), CommitCompleted { role.claim_.epoch_, time(), store::ReplyLost { "the write ended by an unexpected error" } });
}

asio::awaitable<void> Scheduler::commit(workflow::LeaderEpoch epoch, store::Transaction transaction, Duration limit)
{
    auto self = shared_from_this();
    Instant sentAt = time();
    store::CommitOutcome outcome = co_await rows_.commit(std::move(transaction), limit);
    CommitCompleted completed { epoch, sentAt, std::move(outcome) };
    co_await mailbox_.post(std::move(completed));
}

asio::awaitable<void> Scheduler::readChain(workflow::LeaderEpoch epoch, Duration after)
{
    auto self = shared_from_this();
    if (after > Duration(0))
        co_await sleepFor(after);
    auto row = co_await rows_.readRow(std::string(chainRow), chainReadTimeout);
    ChainReadCompleted completed { epoch, std::move(row) };
    co_await mailbox_.post(std::move(completed));
}

asio::awaitable<void> Scheduler::rereadOperators(workflow::LeaderEpoch epoch)
{
    auto self = shared_from_this();
    auto snapshot = co_await rows_.readTable(std::string(platform::operatorTable), queueReadTimeout);
    if (!snapshot.ok()) {
        logWarning("operators.unreadable", { { "reason", std::string(snapshot.status().message()) } });
        co_return;
    }
    OperatorsRead read { epoch, toView(*snapshot) };
    co_await mailbox_.post(std::move(read));
}

void Scheduler::finishCommit(Leading& role, store::RowVersion version)
{
    PendingCommit pending = std::move(*role.pendingCommit_);
    role.pendingCommit_.reset();
    role.chainVersion_ = version;
    role.lastWriteSentAt_ = pending.sentAt_;
    role.batchJobs_ = std::min(role.batchJobs_ * 2, workflow::maximumBatchJobs);
    role.storedSilentWorkers_ = std::move(pending.silentWorkers_);
    decide(role, workflow::BatchDurable { std::move(pending.batch_), pending.sentAt_ });
}

void Scheduler::retryCommit(Leading& role, Duration after, bool mayBeStored)
{
    workflow::restage(role.leaderState_, std::move(role.pendingCommit_->batch_), mayBeStored);
    role.pendingCommit_.reset();
    if (mayBeStored)
        role.storedSilentWorkers_.reset();
    role.nextCommitAt_ = time() + after;
    commitIfDue(role);
}

void Scheduler::handleRejection(Leading& role, const std::string& detail)
{
    size_t jobs = role.pendingCommit_->batch_.items_.size();
    JobId job = role.pendingCommit_->batch_.items_.front().job_;
    role.batchJobs_ = std::max<size_t>(jobs / 2, 1);
    logWarning("commit.rejected", { { "commit", std::to_string(role.pendingCommit_->number_) }, { "jobs", std::to_string(jobs) }, { "first_job", job.value() }, { "reason", detail } });
    if (jobs > 1)
        return retryCommit(role, Duration(0), false);
    workflow::restage(role.leaderState_, std::move(role.pendingCommit_->batch_), false);
    role.pendingCommit_.reset();
    decide(role, workflow::RowsRejected { job });
    if (role.leaderState_.jobs_.count(job) > 0)
        isolateJobAndExit(options_.store_, job, concat("the store rejects its rows: ", detail), options_.name_);
}

void Scheduler::handle(CommitCompleted message)
{
    Leading* role = findLeading(message.epoch_);
    if (!role || !role->pendingCommit_)
        return;
    std::visit(Visitor { [&](const store::Committed& committed) {
                            Duration took = time() - message.sentAt_;
                            recordLatency("commit", took);
                            if (took > slowCommitThreshold)
                                logInfo("commit.slow", { { "commit", std::to_string(role->pendingCommit_->number_) }, { "took_ms", std::to_string(took.count() / 1000) }, { "jobs", std::to_string(role->pendingCommit_->batch_.items_.size()) } });
                            role->averageCommitTime_ = (role->averageCommitTime_ * 7 + took) / 8;
                            role->commitTimeout_ = std::clamp(role->averageCommitTime_ * commitTimeoutFactor, minimumCommitTimeout, maximumCommitTimeout);
                            if (committed.clockReadingMs_ > 0)
                                role->storeClock_ = { committed.clockReadingMs_, message.sentAt_, time() };
                            finishCommit(*role, committed.version_);
                        },
                   [&](const store::Conflict& conflict) {
                       logInfo("commit.conflict", { { "row", conflict.key_ }, { "commit", std::to_string(role->pendingCommit_->number_) } });
                       if (conflict.key_ == leaderRow)
                           return stepDown("another entry has written the leader row");
                       if (conflict.key_ == chainRow || conflict.key_.empty()) {
                           spawnWork("read chain", readChain(message.epoch_, Duration(0)), ChainReadCompleted { message.epoch_, failedWork() });
                           return;
                       }
                       // Starts are decided again once the change of the operators' table has been read.
                       workflow::restage(role->leaderState_, std::move(role->pendingCommit_->batch_), false);
                       role->pendingCommit_.reset();
                       role->nextCommitAt_ = time() + refusedRetryInterval;
                       spawn(executor_, "reread operators", rereadOperators(message.epoch_));
                   },
                   [&](const store::Unavailable& refusal) {
                       logWarning("store.refused", { { "reason", refusal.detail_ }, { "commit", std::to_string(role->pendingCommit_->number_) } });
                       if (refusal.isRejected_ && !role->pendingCommit_->batch_.items_.empty())
                           return handleRejection(*role, refusal.detail_);
                       decide(*role, workflow::StoreFailed {});
                       retryCommit(*role, refusedRetryInterval, false);
                   },
                   [&](const store::ReplyLost& lost) {
                       logWarning("store.reply_lost", { { "reason", lost.detail_ }, { "commit", std::to_string(role->pendingCommit_->number_) }, { "limit_ms", std::to_string(role->commitTimeout_.count() / 1000) } });
                       role->commitTimeout_ = std::min(role->commitTimeout_ * 2, maximumCommitTimeout);
                       decide(*role, workflow::StoreFailed {});
                       spawnWork("read chain", readChain(message.epoch_, Duration(0)), ChainReadCompleted { message.epoch_, failedWork() });
                   } },
        message.outcome_);
}

void Scheduler::handle(ChainReadCompleted message)
{
    Leading* role = findLeading(message.epoch_);
    if (!role || !role->pendingCommit_)
        return;
    if (!message.row_.ok()) {
        // No other transaction is sent until the outcome is known, so that jobs staged meanwhile can be refused as not run.
        logWarning("store.lost", { { "reason", std::string(message.row_.status().message()) } });
        spawnWork("read chain", readChain(message.epoch_, refusedRetryInterval), ChainReadCompleted { message.epoch_, failedWork() });
        return;
    }
    const store::Row& row = *message.row_;
    if (row.value_ == role->pendingCommit_->chain_)
        return finishCommit(*role, row.version_);
    // The pending transaction has not been carried out so far. The version differs from the last one known if an earlier
    // transaction of this leader, whose reply was lost, has been carried out late.
    role->chainVersion_ = row.version_;
    retryCommit(*role, Duration(0), true);
}

void Scheduler::stepDown(std::string_view reason)
{
    logInfo("leader.stepped_down", { { "epoch", std::to_string(leadership_.epoch_.value()) }, { "reason", std::string(reason) } });
    if (auto* role = std::get_if<Leading>(&role_)) {
        for (auto& [token, reply] : role->calls_)
            reply.send(workflow::OutcomeUnknown { "the leader of the queues has changed" });
        for (auto& [agent, waiting] : role->reports_) {
            for (WaitingReport& report : waiting)
                report.reply_.send(workflow::ExchangeAnswer { std::nullopt, viewOf(leadership_, time()) });
        }
    }
    // Another entry leads or will claim the leadership soon.
    if (leadership_.leader_ == options_.self_)
        leadership_.leader_ = std::nullopt;
    leadership_.hasReadRow_ = false;
    role_ = Following {};
}

} // namespace persimmondoor::scheduler
