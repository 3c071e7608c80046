#include "OwnerRules.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::jobs {

Owner::Host& OwnerRules::host(const WorkerName& worker)
{
    auto [position, added] = owner_.hosts_.try_emplace(worker);
    if (added)
        position->second.lastAnswer_ = moment_.now_;
    return position->second;
}

void OwnerRules::operator()(const HorizonExtended& message)
{
    owner_.horizonUntil_ = std::max(owner_.horizonUntil_, message.until_);
}

namespace {

    // The journal's record for an event of the present attempt; nothing for one that only informs.
    std::optional<Record> recordOf(const hosting::HostEvent& event, const TaskKey& key, const std::string& checkpoint, bool counted, int64_t at)
    {
        Attempt attempt = event.task_.attempt_;
        using Result = std::optional<Record>;
        return std::visit(Visitor {
                              [](const hosting::TaskStarted&) { return Result(); },
                              [&](const hosting::TaskFinished& end) { return Result(TaskFinished { key, attempt, end.exitCode_, end.result_, at }); },
                              [&](const hosting::TaskFailed& end) { return Result(TaskFailed { key, attempt, end.reason_, counted, at }); },
                              [&](const hosting::TaskCheckpointed& saved) { return Result(CheckpointSaved { key, attempt, saved.reference_ }); },
                              [&](const hosting::TaskStopped&) { return Result(TaskReleased { key, attempt, ReleaseCause::Stopped, checkpoint, at }); },
                              [&](const hosting::TaskLeaseLapsed&) { return Result(TaskReleased { key, attempt, ReleaseCause::LeaseLapsed, checkpoint, at }); },
                          },
            event.event_);
    }

    // The newest checkpoint of the attempt among events that are not durable yet.
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

    // True once the ledger holds what the event says, so that the agent may drop it.
    bool isSettled(const Ledger& ledger, const hosting::HostEvent& event)
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
    Owner::Host& from = host(message.worker_);
    from.lastAnswer_ = moment_.now_;
    from.stamp_ = message.answer_.stamp_;
    if (!message.answer_.renewed_ || message.answer_.moreEvents_)
        from.renewalSentAt_.reset();

    std::vector<Record> records;
    for (const hosting::HostEvent& event : message.answer_.events_) {
        auto key = parseTaskId(event.task_.task_);
        if (event.sequence_ <= from.acknowledged_ || !key.ok())
            continue;
        bool seen = event.sequence_ <= from.proposed_;
        from.proposed_ = std::max(from.proposed_, event.sequence_);
        from.unsettled_.insert_or_assign(event.sequence_, event);
        const Task* task = findAttempt(*key, event.task_.attempt_);
        if (!task || siteOf(task->phase_)->worker_ != message.worker_)
            continue;
        if (std::holds_alternative<hosting::TaskStarted>(event.event_))
            owner_.ledger_ = markRunning(std::move(owner_.ledger_), *key, event.task_.attempt_);
        bool ends = hosting::endsAttempt(event.event_);
        bool first = ends ? owner_.proposedEnds_.insert({ *key, event.task_.attempt_ }).second : !seen;
        if (!first)
            continue;
        bool counted = !owner_.quarantine_.isSuspect(message.worker_);
        if (auto record = recordOf(event, *key, checkpointIn(from.unsettled_, event.task_), counted, moment_.wallMs_))
            records.push_back(*std::move(record));
    }
    propose(std::move(records), Lane::Batch);
    compareRunning(message);
}

// Finds what runs there and should not, and what should and does not.
void OwnerRules::compareRunning(const RenewalAnswered& message)
{
    bool listed = message.answer_.digest_ != message.sentDigest_;
    std::set<std::pair<TaskKey, Attempt>> running;
    for (const store::TaskAttempt& there : message.answer_.running_) {
        auto key = parseTaskId(there.task_);
        if (!key.ok())
            continue;
        running.insert({ *key, there.attempt_ });
        const Task* task = findAttempt(*key, there.attempt_);
        if (task && siteOf(task->phase_)->worker_ == message.worker_) {
            owner_.ledger_ = markRunning(std::move(owner_.ledger_), *key, there.attempt_);
            continue;
        }
        actions_.emplace_back(SendStop { message.worker_, *key, { there.task_, there.attempt_, owner_.identity_.partition_, owner_.identity_.epoch_, hosting::StopKind::Stop } });
    }
    auto assigned = owner_.ledger_.assigned().find(message.worker_);
    if (assigned == owner_.ledger_.assigned().end())
        return;
    std::vector<TaskKey> expected(assigned->second.begin(), assigned->second.end());
    for (const TaskKey& key : expected) {
        Attempt attempt = owner_.ledger_.find(key)->attempt_;
        Owner::Run& run = owner_.runs_[key];
        if (!listed) {
            if (run.isStartAnswered_ && !run.stopSentAt_)
                owner_.ledger_ = markRunning(std::move(owner_.ledger_), key, attempt);
            continue;
        }
        if (!run.isStartAnswered_ || running.contains({ key, attempt }) || owner_.proposedEnds_.contains({ key, attempt }))
            continue;
        // All events up to the answer are known here, so that an attempt that was gone before has no end to tell.
        if (run.confirmedAbsentAt_ && message.sentAt_ >= *run.confirmedAbsentAt_ && !message.answer_.moreEvents_)
            release(key, attempt, ReleaseCause::Stopped, "");
        else if (!run.stopSentAt_)
            stop(key, hosting::StopKind::Stop);
    }
}

void OwnerRules::operator()(const RenewalFailed&)
{
    // The silence is judged by the time of the last answer, in `renewHosts`.
}

void OwnerRules::renewHosts()
{
    Instant now = moment_.now_;
    for (const auto& [worker, tasks] : owner_.ledger_.assigned())
        host(worker);
    for (auto position = owner_.hosts_.begin(); position != owner_.hosts_.end();) {
        const WorkerName& worker = position->first;
        Owner::Host& at = position->second;
        while (!at.unsettled_.empty() && isSettled(owner_.ledger_, at.unsettled_.begin()->second)) {
            at.acknowledged_ = at.unsettled_.begin()->first;
            at.unsettled_.erase(at.unsettled_.begin());
        }
        bool used = owner_.ledger_.assigned().contains(worker);
        if (!used && at.unsettled_.empty() && at.acknowledgementSent_ == at.acknowledged_) {
            position = owner_.hosts_.erase(position);
            continue;
        }
        if (!at.renewalSentAt_ || now - *at.renewalSentAt_ >= renewalInterval)
            renew(worker, at);
        if (used && now - at.lastAnswer_ > silenceLimit && now >= at.leaseEnd_)
            releaseAll(worker);
        ++position;
    }
}

void OwnerRules::renew(const WorkerName& worker, Owner::Host& at)
{
    Instant now = moment_.now_;
    hosting::Renewal renewal { owner_.identity_.partition_, owner_.identity_.epoch_, {}, taskLease, at.acknowledged_, {}, 0 };
    // A renewal without a stamp extends no lease: the leases of a silent agent are left to lapse, and a process that
    // may have been deposed for long extends none.
    bool silent = now - at.lastAnswer_ > silenceLimit;
    if (at.stamp_ && !silent && now < owner_.horizonUntil_) {
        renewal.stamp_ = *at.stamp_;
        at.leaseEnd_ = std::max(at.leaseEnd_, now + taskLease + leaseMargin);
    }
    std::vector<store::TaskAttempt> expected;
    if (auto assigned = owner_.ledger_.assigned().find(worker); assigned != owner_.ledger_.assigned().end()) {
        for (const TaskKey& key : assigned->second)
            expected.push_back({ taskId(key), owner_.ledger_.find(key)->attempt_ });
    }
    renewal.digest_ = hosting::digestOf(expected);
    at.renewalSentAt_ = now;
    at.acknowledgementSent_ = at.acknowledged_;
    actions_.emplace_back(SendRenewal { worker, now, std::move(renewal) });
}

// Every lease that an order could have given at the worker has lapsed.
void OwnerRules::releaseAll(const WorkerName& worker)
{
    const std::set<TaskKey> tasks = owner_.ledger_.assigned().at(worker);
    for (const TaskKey& key : tasks)
        release(key, owner_.ledger_.find(key)->attempt_, ReleaseCause::LeaseLapsed, "");
}

} // namespace persimmondoor::jobs
