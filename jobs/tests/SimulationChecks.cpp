#include "Simulation.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::jobs::simulation {

static constexpr Duration stampGrace = hosting::stampLifetime;

void Simulation::inject(const Fault& fault)
{
    size_t process = fault.target_ % processes_.size();
    SimulatedHost& host = hosts_[fault.target_ % hosts_.size()];
    switch (fault.kind_) {
    case FaultKind::OwnerCrashes:
        processes_[process].owner_.reset();
        ++processes_[process].incarnation_;
        break;
    case FaultKind::OwnerPauses:
        processes_[process].pausedUntil_ = now_ + std::chrono::seconds(5 + fault.target_ % 40);
        break;
    case FaultKind::TakeoverWhileOwnerRuns:
        takeOver(process);
        break;
    case FaultKind::StoreDown:
        storeDownUntil_ = now_ + std::chrono::seconds(5 + fault.target_ % 30);
        break;
    case FaultKind::StoreDownTenMinutes:
        storeDownUntil_ = now_ + std::chrono::minutes(10);
        break;
    case FaultKind::RepliesLost:
        repliesToLose_ += 1 + fault.target_ % 5;
        break;
    case FaultKind::WritesDelayed:
        lateWritesUntil_ = now_ + std::chrono::seconds(5);
        break;
    case FaultKind::HostPauses:
        host.pauseUntil(now_ + std::chrono::seconds(2 + fault.target_ % 60));
        break;
    case FaultKind::HostUnreachable:
        host.disconnectUntil(now_ + std::chrono::seconds(2 + fault.target_ % 60));
        break;
    case FaultKind::AgentRestarts:
        host.restartAgent(now_);
        break;
    case FaultKind::WorkerReplaced:
        for (const store::TaskAttempt& task : host.completed())
            outcomeUnknown_.insert(task);
        for (const auto& [task, reference] : host.checkpoints())
            outcomeUnknown_.insert(task);
        host.replaceWorker(now_);
        break;
    case FaultKind::DomainDrained:
        setDomain(fault.target_, false);
        break;
    case FaultKind::DomainRestored:
        setDomain(fault.target_, true);
        break;
    case FaultKind::JobCancelled:
        for (size_t index = 0; index < processes_.size(); ++index)
            deliver(index, processes_[index].incarnation_, CancelRequested { Ticket(++tickets_), { JobId::of(concat("team:job-", fault.target_ % 6)) } });
        break;
    case FaultKind::JobSubmitted:
        submit(fault.target_);
        break;
    case FaultKind::MessagesLost:
        messageLossUntil_ = now_ + std::chrono::seconds(10);
        break;
    case FaultKind::MessagesDuplicatedAndDelayed:
        duplicationUntil_ = now_ + std::chrono::seconds(20);
        break;
    }
}

void Simulation::submit(uint32_t target)
{
    JobSpec spec;
    spec.id_ = JobId::of(concat("team:job-", submitted_++));
    spec.team_ = TeamName::of("team");
    spec.priority_ = { target % 2 ? Tier::Trial : Tier::Paying, target % 3 ? placement::Urgency::Normal : placement::Urgency::Urgent };
    spec.command_ = "work";
    spec.taskCount_ = 1 + target % 4;
    spec.resources_ = *Resources::create(1000, 1'000'000'000, 0);
    notAccepted_.emplace(spec.id_, spec);
    sendSubmission(spec);
}

void Simulation::sendSubmission(const JobSpec& spec)
{
    for (size_t index = 0; index < processes_.size(); ++index) {
        Ticket ticket(++tickets_);
        ticketJobs_.emplace(ticket, spec.id_);
        deliver(index, processes_[index].incarnation_, SubmitRequested { ticket, spec });
    }
}

void Simulation::repeatSubmissions()
{
    const std::map<JobId, JobSpec> open = notAccepted_;
    for (const auto& [id, spec] : open)
        sendSubmission(spec);
}

void Simulation::setDomain(uint32_t target, bool inService)
{
    FailureDomainName domain = FailureDomainName::of(concat("domain-", target % 3));
    if (now_ < storeDownUntil_)
        return;
    table_.apply({ {}, { store::Put { domainKey(domain), encode(DomainRow { inService, "", 0 }) } } });
    if (inService)
        closedAt_.erase(domain);
    else
        closedAt_.try_emplace(domain, now_);
}

void Simulation::recordDurable(const Batch& batch)
{
    for (const Record& record : batch.records_) {
        const auto* finished = std::get_if<TaskFinished>(&record);
        const auto* released = std::get_if<TaskReleased>(&record);
        if (released && released->cause_ == ReleaseCause::LeaseLapsed)
            outcomeUnknown_.insert({ taskId(released->task_), released->attempt_ });
        Applied applied = applyRecords(std::move(durable_), { record });
        durable_ = std::move(applied.ledger_);
        bool effective = finished && !applied.effects_.empty();
        if (effective && !finishedAt_.emplace(finished->task_, now_).second)
            fail(concat("completion of ", taskId(finished->task_).value(), " recorded twice"));
    }
}

// Checks that the attempt resumes from the newest checkpoint of the earlier attempts, unless the outcome of a later one of
// them is unknown.
void Simulation::checkResume(const ObservedStart& observed)
{
    for (uint64_t earlier = observed.task_.attempt_.value() - 1; earlier > 0; --earlier) {
        store::TaskAttempt attempt { observed.task_.task_, Attempt(earlier) };
        if (outcomeUnknown_.contains(attempt))
            return;
        for (const SimulatedHost& host : hosts_) {
            auto saved = host.checkpoints().find(attempt);
            if (saved == host.checkpoints().end())
                continue;
            if (saved->second != observed.checkpoint_)
                fail(concat(observed.task_.task_.value(), " did not resume from ", saved->second));
            return;
        }
    }
}

void Simulation::check()
{
    std::map<TaskId, size_t> places;
    for (const SimulatedHost& host : hosts_) {
        // Tasks of a paused host do not run. When the host continues, it first stops tasks whose lease has expired.
        if (!host.isUp(now_))
            continue;
        for (const store::TaskAttempt& task : host.running()) {
            if (++places[task.task_] > 1)
                fail(concat(task.task_.value(), " runs at two hosts"));
        }
    }
    for (; checkedStarts_ < observedStarts_.size(); ++checkedStarts_) {
        const ObservedStart& observed = observedStarts_[checkedStarts_];
        if (!started_.insert(observed.task_).second)
            fail(concat("attempt ", observed.task_.attempt_.value(), " of ", observed.task_.task_.value(), " started twice"));
        TaskKey key = *parseTaskId(observed.task_.task_);
        const Task* task = durable_.find(key);
        if (!task || task->attempt_ < observed.task_.attempt_)
            fail(concat(observed.task_.task_.value(), " started before its attempt was durable"));
        if (finishedAt_.contains(key))
            fail(concat(observed.task_.task_.value(), " started after its completion was recorded"));
        auto closed = closedAt_.find(observed.domain_);
        if (closed != closedAt_.end() && observed.at_ > closed->second + stampGrace)
            fail(concat(observed.task_.task_.value(), " started in a failure domain out of service"));
        checkResume(observed);
    }
    std::map<TaskId, size_t> completions;
    for (const SimulatedHost& host : hosts_) {
        for (const store::TaskAttempt& task : host.completed()) {
            if (!outcomeUnknown_.contains(task) && ++completions[task.task_] > 1)
                fail(concat(task.task_.value(), " finished twice"));
        }
    }
}

bool Simulation::allEnded() const
{
    for (const JobId& id : accepted_) {
        if (!durable_.find(id))
            return false;
    }
    return notAccepted_.empty() && durable_.liveTasks() == 0;
}

void Simulation::fail(const std::string& what)
{
    if (!failure_)
        failure_ = concat(what, " at ", now_.microseconds() / 1000, " ms");
}

} // namespace persimmondoor::jobs::simulation
