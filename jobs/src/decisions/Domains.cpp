#include "OwnerRules.h"

#include <algorithm>

namespace persimmondoor::jobs {

void OwnerRules::operator()(const DomainsRead& message)
{
    for (const DomainState& row : message.rows_) {
        auto [position, added] = owner_.domains_.try_emplace(row.domain_);
        Owner::Domain& known = position->second;
        // A read that was overtaken by a later one tells nothing new.
        if (!added && row.version_ <= known.row_.version_)
            continue;
        bool returned = !added && !known.row_.inService_ && row.inService_;
        known.row_ = row;
        if (row.inService_)
            known.openVersion_ = row.version_;
        if (returned)
            known.returnedAt_ = moment_.now_;
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

std::set<FailureDomainName> OwnerRules::returningDomains() const
{
    std::set<FailureDomainName> returning;
    for (const auto& [name, domain] : owner_.domains_) {
        if (domain.row_.inService_ && domain.returnedAt_ && moment_.now_ - *domain.returnedAt_ < returnRamp)
            returning.insert(name);
    }
    return returning;
}

void OwnerRules::leaveDomains()
{
    std::set<FailureDomainName> closed = closedDomains();
    if (closed.empty() || moment_.now_ < owner_.nextDrainStep_)
        return;
    owner_.nextDrainStep_ = moment_.now_ + drainStep;
    std::vector<TaskKey> leaving;
    for (const auto& [worker, tasks] : owner_.ledger_.assigned()) {
        for (const TaskKey& key : tasks) {
            const TaskPhase& phase = owner_.ledger_.find(key)->phase_;
            auto run = owner_.runs_.find(key);
            bool told = std::holds_alternative<Stopping>(phase) || (run != owner_.runs_.end() && (run->second.evicting_ || run->second.stopSentAt_));
            if (leaving.size() < drainTasks && !told && closed.contains(siteOf(phase)->domain_))
                leaving.push_back(key);
        }
    }
    for (const TaskKey& key : leaving) {
        owner_.runs_[key].evicting_ = true;
        if (!owner_.proposedEnds_.contains({ key, owner_.ledger_.find(key)->attempt_ }))
            stop(key, hosting::StopKind::Checkpoint);
    }
}

} // namespace persimmondoor::jobs
