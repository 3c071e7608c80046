#include "OwnerRules.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::jobs {

Owner::Host& OwnerRules::hostOf(const WorkerName& worker)
{
    auto [position, added] = owner_.hosts_.try_emplace(worker);
    if (added)
        position->second.lastAnswerAt_ = moment_.now_;
    return position->second;
}

void OwnerRules::operator()(const HorizonExtended& message)
{
    owner_.horizonUntil_ = std::max(owner_.horizonUntil_, message.until_);
}

namespace {

    // The journal record for an event of the current attempt, or nothing if the event is not journaled.
    std::optional<Record> recordOf(const hosting::HostEvent& event, const TaskKey& key, const std::string& checkpoint, bool isCounted, int64_t at)
    {
        Attempt attempt = event.task_.attempt_;
        using Result = std::optional<Record>;
        return std::visit(Visitor {
                              [](const hosting::TaskStarted&) { return Result(); },
                              [&](const hosting::TaskFinished& end) { return Result(TaskFinished { key, attempt, end.exitCode_, end.result_, at }); },
                              [&](const hosting::TaskFailed& end) { return Result(TaskFailed { key, attempt, end.reason_, isCounted, at }); },
                              [&](const hosting::TaskCheckpointed& saved) { return Result(CheckpointSaved { key, attempt, saved.reference_ }); },
                              [&](const hosting::TaskStopped&) { return Result(TaskReleased { key, attempt, ReleaseCause::Stopped, checkpoint, at }); },
                              [&](const hosting::TaskLeaseLapsed&) { return Result(TaskReleased { key, attempt, ReleaseCause::LeaseLapsed, checkpoint, at }); },
                          },
            event.event_);
    }

    // The newest checkpoint of the attempt among the events that are not acknowledged yet.
    std::string checkpointIn(const std::map<Sequence, hosting::HostEvent>& events, const store::TaskAttempt& task)
    {
        std::string reference;
        for (const auto& [sequence, event] : events) {
            const auto* saved = std::get_if<hosting::TaskCheckpointed>(&event.event_);
            if (saved && event.task_ == task)
                reference = saved->reference_;
        }
        return reference;
    }

    // True once the ledger reflects the event, so that the agent may drop it.
    bool isApplied(const Ledger& ledger, const hosting::HostEvent& event)
    {
        auto key = parseTaskId(event.task_.task_);
        const Task* task = key.ok() ? ledger.find(*key) : nullptr;
        if (!task || task->attempt_ != event.task_.attempt_ || !siteOf(task->phase_))
            return true;
        if (const auto* saved = std::get_if<hosting::TaskCheckpointed>(&event.event_))
            return task->checkpoint_ == saved->reference_;
        return !hosting::endsAttempt(event.event_);
    }

} // namespace

void OwnerRules::operator()(const RenewalAnswered& message)
{
    Owner::Host& host = hostOf(message.worker_);
    host.lastAnswerAt_ = moment_.now_;
    host.stamp_ = message.answer_.stamp_;
    if (!message.answer_.renewed_ || message.answer_.moreEvents_)
        host.renewalSentAt_.reset();

    std::vector<Record> records;
    for (const hosting::HostEvent& event : message.answer_.events_) {
        auto key = parseTaskId(event.task_.task_);
        if (event.sequence_ <= host.acknowledgedThrough_ || !key.ok())
            continue;
        bool isAppended = event.sequence_ <= host.appendedThrough_;
        host.appendedThrough_ = std::max(host.appendedThrough_, event.sequence_);
        host.pendingEvents_.insert_or_assign(event.sequence_, event);
        const Task* task = findAttempt(*key, event.task_.attempt_);
        if (!task || siteOf(task->phase_)->worker_ != message.worker_)
            continue;
        if (std::holds_alternative<hosting::TaskStarted>(event.event_))
            owner_.ledger_ = markRunning(std::move(owner_.ledger_), *key, event.task_.attempt_);
        bool isEnd = hosting::endsAttempt(event.event_);
        bool isFirstReport = isEnd ? owner_.pendingEnds_.insert({ *key, event.task_.attempt_ }).second : !isAppended;
        if (!isFirstReport)
            continue;
        bool isCounted = !owner_.quarantine_.isSuspect(message.worker_);
        if (auto record = recordOf(event, *key, checkpointIn(host.pendingEvents_, event.task_), isCounted, moment_.wallMs_))
            records.push_back(*std::move(record));
    }
    append(std::move(records), Lane::Deferred);
    reconcileRunning(message);
}

// Compares the attempts that run at the worker with the ledger. An attempt that the ledger does not assign to the worker is
// ordered to stop. An assigned attempt that does not run is released once the agent has confirmed its absence; until then, a
// stop order asks the agent to confirm it.
void OwnerRules::reconcileRunning(const RenewalAnswered& message)
{
    bool isListed = message.answer_.digest_ != message.sentDigest_;
    std::set<std::pair<TaskKey, Attempt>> running;
    for (const store::TaskAttempt& reported : message.answer_.running_) {
        auto key = parseTaskId(reported.task_);
        if (!key.ok())
            continue;
        running.insert({ *key, reported.attempt_ });
        const Task* task = findAttempt(*key, reported.attempt_);
        if (task && siteOf(task->phase_)->worker_ == message.worker_) {
            owner_.ledger_ = markRunning(std::move(owner_.ledger_), *key, reported.attempt_);
            continue;
        }
        actions_.emplace_back(SendStop { message.worker_, *key, { reported.task_, reported.attempt_, owner_.identity_.partition_, owner_.identity_.epoch_, hosting::StopKind::Stop } });
    }
    auto assigned = owner_.ledger_.assigned().find(message.worker_);
    if (assigned == owner_.ledger_.assigned().end())
        return;
    std::vector<TaskKey> expected(assigned->second.begin(), assigned->second.end());
    for (const TaskKey& key : expected) {
        Attempt attempt = owner_.ledger_.find(key)->attempt_;
        Owner::AttemptState& state = owner_.attempts_[key];
        // Equal digests: the worker runs exactly the expected attempts, and the answer does not list them.
        if (!isListed) {
            if (state.isStartAnswered_ && !state.stopSentAt_)
                owner_.ledger_ = markRunning(std::move(owner_.ledger_), key, attempt);
            continue;
        }
        if (!state.isStartAnswered_ || running.contains({ key, attempt }) || owner_.pendingEnds_.contains({ key, attempt }))
            continue;
        // The renewal was sent after the agent had confirmed the absence, and its answer holds all events so far: the agent
        // has no end of the attempt left to report.
        if (state.confirmedAbsentAt_ && message.sentAt_ >= *state.confirmedAbsentAt_ && !message.answer_.moreEvents_)
            release(key, attempt, ReleaseCause::Stopped, "");
        else if (!state.stopSentAt_)
            stop(key, hosting::StopKind::Stop);
    }
}

void OwnerRules::operator()(const RenewalFailed&)
{
    // `renewHosts` detects unreachable agents by the time of their last answer.
}

void OwnerRules::renewHosts()
{
    Instant now = moment_.now_;
    for (const auto& [worker, tasks] : owner_.ledger_.assigned())
        hostOf(worker);
    for (auto position = owner_.hosts_.begin(); position != owner_.hosts_.end();) {
        const WorkerName& worker = position->first;
        Owner::Host& host = position->second;
        while (!host.pendingEvents_.empty() && isApplied(owner_.ledger_, host.pendingEvents_.begin()->second)) {
            host.acknowledgedThrough_ = host.pendingEvents_.begin()->first;
            host.pendingEvents_.erase(host.pendingEvents_.begin());
        }
        bool hasTasks = owner_.ledger_.assigned().contains(worker);
        if (!hasTasks && host.pendingEvents_.empty() && host.acknowledgementSentThrough_ == host.acknowledgedThrough_) {
            position = owner_.hosts_.erase(position);
            continue;
        }
        if (!host.renewalSentAt_ || now - *host.renewalSentAt_ >= renewalInterval)
            renew(worker, host);
        if (hasTasks && now - host.lastAnswerAt_ > contactTimeout && now >= host.leaseEnd_)
            releaseAll(worker);
        ++position;
    }
}

void OwnerRules::renew(const WorkerName& worker, Owner::Host& host)
{
    Instant now = moment_.now_;
    hosting::Renewal renewal { owner_.identity_.partition_, owner_.identity_.epoch_, {}, taskLease, host.acknowledgedThrough_, {}, 0 };
    // A renewal without a stamp extends no lease. It is sent to an agent that does not answer, so that the agent's leases
    // expire, and after the end of the renewal horizon, as another process may own the partition.
    bool isUnreachable = now - host.lastAnswerAt_ > contactTimeout;
    if (host.stamp_ && !isUnreachable && now < owner_.horizonUntil_) {
        renewal.stamp_ = *host.stamp_;
        host.leaseEnd_ = std::max(host.leaseEnd_, now + taskLease + leaseMargin);
    }
    std::vector<store::TaskAttempt> expected;
    if (auto assigned = owner_.ledger_.assigned().find(worker); assigned != owner_.ledger_.assigned().end()) {
        for (const TaskKey& key : assigned->second)
            expected.push_back({ taskId(key), owner_.ledger_.find(key)->attempt_ });
    }
    renewal.digest_ = hosting::digestOf(expected);
    host.renewalSentAt_ = now;
    host.acknowledgementSentThrough_ = host.acknowledgedThrough_;
    actions_.emplace_back(SendRenewal { worker, now, std::move(renewal) });
}

// Releases all attempts at the worker, after every lease that an order could have granted there has expired.
void OwnerRules::releaseAll(const WorkerName& worker)
{
    const std::set<TaskKey> tasks = owner_.ledger_.assigned().at(worker);
    for (const TaskKey& key : tasks)
        release(key, owner_.ledger_.find(key)->attempt_, ReleaseCause::LeaseLapsed, "");
}

} // namespace persimmondoor::jobs
