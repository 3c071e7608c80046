#include "persimmondoor/jobs/Owner.h"

#include "OwnerRules.h"

namespace persimmondoor::jobs {

// Time between checks of what is not urgent: repeated stops, retention.
static constexpr Duration upkeepInterval = std::chrono::seconds(1);
// Jobs forgotten in one step.
static constexpr size_t forgottenAtOnce = 500;

Owner Owner::create(const OwnerIdentity& identity, Ledger ledger, Instant now)
{
    Owner owner;
    owner.identity_ = identity;
    owner.ledger_ = std::move(ledger);
    owner.journal_ = Journal::create(identity.epoch_, identity.next_);
    owner.nextRound_ = now;
    owner.nextDrainStep_ = now;
    owner.nextUpkeep_ = now;
    owner.horizonUntil_ = now + taskLease;
    // An earlier owner may have ordered and renewed what the ledger holds, until the end of its horizon.
    for (const auto& [worker, tasks] : owner.ledger_.assigned()) {
        Host& host = owner.hosts_[worker];
        host.lastAnswer_ = now;
        host.leaseEnd_ = now + identity.horizon_ + taskLease + leaseMargin;
        for (const TaskKey& key : tasks)
            owner.runs_[key].isStartAnswered_ = true;
    }
    return owner;
}

void OwnerRules::operator()(const WorkersListed& message)
{
    owner_.workers_.clear();
    owner_.shapes_ = placement::WorkerShapes();
    std::map<FailureDomainName, placement::DomainWorkers> directory;
    for (const KnownWorker& worker : message.workers_) {
        owner_.workers_.insert_or_assign(worker.site_.worker_, worker);
        owner_.shapes_.add(worker.site_.domain_, worker.capacity_);
        placement::DomainWorkers& domain = directory[worker.site_.domain_];
        domain.domain_ = worker.site_.domain_;
        domain.workers_.push_back(worker.site_.worker_);
    }
    owner_.directory_.clear();
    for (auto& [name, domain] : directory)
        owner_.directory_.push_back(std::move(domain));
}

void OwnerRules::operator()(const QuotasChanged& message)
{
    owner_.quotas_ = message.quotas_;
}

void OwnerRules::operator()(const TimePassed&)
{
    tellJournal(JournalTimePassed {});
    if (owner_.isResigned())
        return;
    renewHosts();
    leaveDomains();
    if (moment_.now_ < owner_.nextUpkeep_)
        return;
    owner_.nextUpkeep_ = moment_.now_ + upkeepInterval;
    repeatStops();
    forgetEndedJobs();
}

void OwnerRules::forgetEndedJobs()
{
    std::vector<Record> records;
    size_t excess = owner_.ledger_.ended().size() > maximumEndedJobs ? owner_.ledger_.ended().size() - maximumEndedJobs : 0;
    for (const auto& [endedAt, id] : owner_.ledger_.ended()) {
        bool over = endedAt + retentionMilliseconds < moment_.wallMs_ || excess > 0;
        if (!over || records.size() == forgottenAtOnce)
            break;
        excess -= excess > 0 ? 1 : 0;
        if (owner_.proposedVerdicts_.insert(id).second)
            records.emplace_back(JobExpired { id });
    }
    propose(std::move(records), Lane::Batch);
}

OwnerDecision decide(Owner state, const OwnerMessage& message, const Moment& moment)
{
    OwnerDecision decision { std::move(state), {} };
    OwnerRules rules { decision.state_, decision.actions_, moment };
    if (decision.state_.isResigned())
        return decision;
    std::visit([&](const auto& alternative) { rules(alternative); }, message);
    rules.startRound();
    rules.takeSnapshotIfDue();
    return decision;
}

} // namespace persimmondoor::jobs
