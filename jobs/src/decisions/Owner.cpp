#include "persimmondoor/jobs/Owner.h"

#include "OwnerRules.h"

namespace persimmondoor::jobs {

// Interval of maintenance that is not urgent: repeating stop orders and removing expired jobs.
static constexpr Duration maintenanceInterval = std::chrono::seconds(1);
// Maximum number of ended jobs that are removed in one maintenance interval, which bounds the size of the batch.
static constexpr size_t maximumExpiredAtOnce = 500;

Owner Owner::create(const OwnerIdentity& identity, Ledger ledger, Instant now)
{
    Owner owner;
    owner.identity_ = identity;
    owner.ledger_ = std::move(ledger);
    owner.journal_ = Journal::create(identity.epoch_, identity.nextBatch_);
    owner.nextRoundAt_ = now;
    owner.nextDrainAt_ = now;
    owner.nextMaintenanceAt_ = now;
    owner.horizonUntil_ = now + taskLease;
    // An earlier owner may have sent start orders and renewals for the attempts in the ledger until the end of its horizon.
    for (const auto& [worker, tasks] : owner.ledger_.assigned()) {
        Host& host = owner.hosts_[worker];
        host.lastAnswerAt_ = now;
        host.leaseEnd_ = now + identity.horizon_ + taskLease + leaseMargin;
        for (const TaskKey& key : tasks)
            owner.attempts_[key].isStartAnswered_ = true;
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
    sendToJournal(JournalTimePassed {});
    if (owner_.isResigned())
        return;
    renewHosts();
    drainDomains();
    if (moment_.now_ < owner_.nextMaintenanceAt_)
        return;
    owner_.nextMaintenanceAt_ = moment_.now_ + maintenanceInterval;
    repeatStops();
    expireEndedJobs();
}

void OwnerRules::expireEndedJobs()
{
    std::vector<Record> records;
    size_t excess = owner_.ledger_.ended().size() > maximumEndedJobs ? owner_.ledger_.ended().size() - maximumEndedJobs : 0;
    for (const auto& [endedAt, id] : owner_.ledger_.ended()) {
        bool isExpired = endedAt + retentionMilliseconds < moment_.wallMs_ || excess > 0;
        if (!isExpired || records.size() == maximumExpiredAtOnce)
            break;
        excess -= excess > 0 ? 1 : 0;
        if (owner_.pendingJobRecords_.insert(id).second)
            records.emplace_back(JobExpired { id });
    }
    append(std::move(records), Lane::Deferred);
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
