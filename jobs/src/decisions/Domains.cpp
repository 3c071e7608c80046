#include "OwnerRules.h"

#include <algorithm>

namespace persimmondoor::jobs {

void OwnerRules::operator()(const DomainsRead& message)
{
    for (const DomainState& row : message.rows_) {
        auto [position, added] = owner_.domains_.try_emplace(row.domain_);
        Owner::Domain& known = position->second;
        // Reads may complete out of order; an older version of the row is ignored.
        if (!added && row.version_ <= known.row_.version_)
            continue;
        bool isRestored = !added && !known.row_.inService_ && row.inService_;
        known.row_ = row;
        if (row.inService_)
            known.inServiceVersion_ = row.version_;
        if (isRestored)
            known.restoredAt_ = moment_.now_;
    }
}

std::set<FailureDomainName> OwnerRules::closedDomains() const
{
    std::set<FailureDomainName> closed;
    for (const auto& [name, domain] : owner_.domains_) {
        if (!domain.row_.inService_)
            closed.insert(name);
    }
    return closed;
}

std::set<FailureDomainName> OwnerRules::rampingUpDomains() const
{
    std::set<FailureDomainName> rampingUp;
    for (const auto& [name, domain] : owner_.domains_) {
        if (domain.row_.inService_ && domain.restoredAt_ && moment_.now_ - *domain.restoredAt_ < domainRampUpTime)
            rampingUp.insert(name);
    }
    return rampingUp;
}

void OwnerRules::drainDomains()
{
    std::set<FailureDomainName> closed = closedDomains();
    if (closed.empty() || moment_.now_ < owner_.nextDrainAt_)
        return;
    owner_.nextDrainAt_ = moment_.now_ + drainInterval;
    std::vector<TaskKey> evicted;
    for (const auto& [worker, tasks] : owner_.ledger_.assigned()) {
        for (const TaskKey& key : tasks) {
            const TaskPhase& phase = owner_.ledger_.find(key)->phase_;
            auto state = owner_.attempts_.find(key);
            bool isStopOrdered = std::holds_alternative<Stopping>(phase) || (state != owner_.attempts_.end() && (state->second.isEvicting_ || state->second.stopSentAt_));
            if (evicted.size() < maximumTasksPerDrain && !isStopOrdered && closed.contains(siteOf(phase)->domain_))
                evicted.push_back(key);
        }
    }
    for (const TaskKey& key : evicted) {
        owner_.attempts_[key].isEvicting_ = true;
        if (!owner_.pendingEnds_.contains({ key, owner_.ledger_.find(key)->attempt_ }))
            stop(key, hosting::StopKind::Checkpoint);
    }
}

} // namespace persimmondoor::jobs
