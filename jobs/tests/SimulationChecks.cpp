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
    case FaultKind::OwnerDies:
        processes_[process].owner_.reset();
        ++processes_[process].life_;
        break;
    case FaultKind::OwnerPauses:
        processes_[process].pausedUntil_ = now_ + std::chrono::seconds(5 + fault.target_ % 40);
        break;
    case FaultKind::TakeoverWhileOwnerLives:
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
    case FaultKind::WritesComeLate:
        lateWritesUntil_ = now_ + std::chrono::seconds(5);
        break;
    case FaultKind::HostPauses:
        host.goDown(now_ + std::chrono::seconds(2 + fault.target_ % 60));
        break;
    case FaultKind::HostCutOff:
        host.cut(now_ + std::chrono::seconds(2 + fault.target_ % 60));
        break;
    case FaultKind::AgentRestarts:
        host.restartAgent(now_);
        break;
    case FaultKind::WorkerVanishes:
        for (const store::TaskAttempt& task : host.completed())
            givenUp_.insert(task);
        for (const auto& [task, reference] : host.checkpoints())
            givenUp_.insert(task);
        host.vanish(now_);
        break;
    case FaultKind::DomainLeaves:
        setDomain(fault.target_, false);
        break;
    case FaultKind::DomainReturns:
        setDomain(fault.target_, true);
        break;
    case FaultKind::JobCancelled:
        for (size_t index = 0; index < processes_.size(); ++index)
            deliver(index, processes_[index].life_, CancelRequested { Ticket(++tickets_), { JobId::of(concat("team:job-", fault.target_ % 6)) } });
        break;
    case FaultKind::JobSubmitted:
        submit(fault.target_);
        break;
    case FaultKind::MessagesLost:
        lossUntil_ = now_ + std::chrono::seconds(10);
        break;
    case FaultKind::MessagesRepeatedAndLate:
        chaosUntil_ = now_ + std::chrono::seconds(20);
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
    ask(spec);
}

void Simulation::ask(const JobSpec& spec)
{
    for (size_t index = 0; index < processes_.size(); ++index) {
        Ticket ticket(++tickets_);
        asked_.emplace(ticket, spec.id_);
        deliver(index, processes_[index].life_, SubmitRequested { ticket, spec });
    }
}

void Simulation::askAgain()
{
    const std::map<JobId, JobSpec> open = notAccepted_;
    for (const auto& [id, spec] : open)
        ask(spec);
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

void Simulation::noteDurable(const Batch& batch)
{
    for (const Record& record : batch.records_) {
        const auto* finished = std::get_if<TaskFinished>(&record);
        const auto* released = std::get_if<TaskReleased>(&record);
        if (released && released->cause_ == ReleaseCause::LeaseLapsed)
            givenUp_.insert({ taskId(released->task_), released->attempt_ });
        Applied applied = applyRecords(std::move(durable_), { record });
        durable_ = std::move(applied.ledger_);
        bool effective = finished && !applied.effects_.empty();
        if (effective && !finishedAt_.emplace(finished->task_, now_).second)
            fail(concat("completion of ", taskId(finished->task_).value(), " recorded twice"));
    }
}

// The attempt resumes from the newest checkpoint that an earlier one made, unless that one was given up.
void Simulation::checkResume(const StartFact& fact)
{
    for (uint64_t earlier = fact.task_.attempt_.value() - 1; earlier > 0; --earlier) {
        store::TaskAttempt attempt { fact.task_.task_, Attempt(earlier) };
        if (givenUp_.contains(attempt))
            return;
        for (const SimulatedHost& host : hosts_) {
            auto saved = host.checkpoints().find(attempt);
            if (saved == host.checkpoints().end())
                continue;
            if (saved->second != fact.checkpoint_)
                fail(concat(fact.task_.task_.value(), " did not resume from ", saved->second));
            return;
        }
    }
}

void Simulation::check()
{
    std::map<TaskId, size_t> places;
    for (const SimulatedHost& host : hosts_) {
        // Tasks of a paused host do not run; when it goes on, lapsed leases end first.
        if (!host.isUp(now_))
            continue;
        for (const store::TaskAttempt& task : host.running()) {
            if (++places[task.task_] > 1)
                fail(concat(task.task_.value(), " runs in two places"));
        }
    }
    for (; factsChecked_ < facts_.size(); ++factsChecked_) {
        const StartFact& fact = facts_[factsChecked_];
        if (!started_.insert(fact.task_).second)
            fail(concat("attempt ", fact.task_.attempt_.value(), " of ", fact.task_.task_.value(), " started twice"));
        TaskKey key = *parseTaskId(fact.task_.task_);
        const Task* task = durable_.find(key);
        if (!task || task->attempt_ < fact.task_.attempt_)
            fail(concat(fact.task_.task_.value(), " started before its attempt was durable"));
        if (finishedAt_.contains(key))
            fail(concat(fact.task_.task_.value(), " started after its completion was recorded"));
        auto closed = closedAt_.find(fact.domain_);
        if (closed != closedAt_.end() && fact.at_ > closed->second + stampGrace)
            fail(concat(fact.task_.task_.value(), " started in a domain that had left"));
        checkResume(fact);
    }
    std::map<TaskId, size_t> completions;
    for (const SimulatedHost& host : hosts_) {
        for (const store::TaskAttempt& task : host.completed()) {
            if (!givenUp_.contains(task) && ++completions[task.task_] > 1)
                fail(concat(task.task_.value(), " was done twice"));
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
