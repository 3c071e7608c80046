#include "persimmondoor/placement/Quota.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::placement {

QuotaLedger QuotaLedger::create(std::map<TeamName, Resources> quotas)
{
    QuotaLedger ledger;
    ledger.quotas_ = std::move(quotas);
    return ledger;
}

QuotaLedger QuotaLedger::withQuotas(std::map<TeamName, Resources> quotas) const
{
    QuotaLedger ledger = *this;
    ledger.quotas_ = std::move(quotas);
    return ledger;
}

static void appendExcess(std::string& text, std::string_view part, int64_t used, int64_t more, int64_t quota)
{
    if (more > 0 && used + more > quota)
        text += concat(text.empty() ? "" : "; ", part, ": ", used, " used + ", more, " exceeds the quota of ", quota);
}

std::string QuotaLedger::excess(const TeamName& team, const Resources& resources) const
{
    Resources held = used(team);
    Resources most = quota(team);
    std::string text;
    appendExcess(text, "milli-cores", held.milliCores(), resources.milliCores(), most.milliCores());
    appendExcess(text, "memory bytes", held.memoryBytes(), resources.memoryBytes(), most.memoryBytes());
    appendExcess(text, "accelerators", held.accelerators(), resources.accelerators(), most.accelerators());
    return text;
}

bool QuotaLedger::reserve(const TeamName& team, const TaskId& task, const Resources& resources)
{
    if (reservations_.contains(task))
        return true;
    if (!excess(team, resources).empty())
        return false;
    used_[team] = used(team) + resources;
    reservations_.emplace(task, Reservation { team, resources });
    return true;
}

void QuotaLedger::release(const TaskId& task)
{
    auto found = reservations_.find(task);
    if (found == reservations_.end())
        return;
    const Reservation& reservation = found->second;
    Resources held = used(reservation.team_);
    assertInvariant(reservation.resources_.fitsIn(held), "the usage of a team is at least each of its reservations");
    held = held - reservation.resources_;
    if (held == Resources())
        used_.erase(reservation.team_);
    else
        used_[reservation.team_] = held;
    reservations_.erase(found);
}

Resources QuotaLedger::used(const TeamName& team) const
{
    auto found = used_.find(team);
    return found == used_.end() ? Resources() : found->second;
}

Resources QuotaLedger::quota(const TeamName& team) const
{
    auto found = quotas_.find(team);
    return found == quotas_.end() ? Resources() : found->second;
}

} // namespace persimmondoor::placement
