/// Tracks the resources that each team has reserved against its quota.
///
/// \code
/// QuotaLedger ledger = QuotaLedger::create({ { team, quota } });
/// bool granted = ledger.reserve(team, task, resources);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"

#include <map>
#include <string>

namespace persimmondoor::placement {

class QuotaLedger {
public:
    /// \param quotas upper bound of what each team may reserve at once. A team without an entry may reserve nothing.
    static QuotaLedger create(std::map<TeamName, Resources> quotas);

    /// Returns this ledger with other quotas. All reservations stay, even if they exceed a reduced quota.
    QuotaLedger withQuotas(std::map<TeamName, Resources> quotas) const;

    /// Checks whether reserving `resources` would exceed the quota of `team`.
    /// \return a description of each exceeded amount; empty if there is none.
    std::string excess(const TeamName& team, const Resources& resources) const;

    /// Reserves `resources` for `task`. Idempotent: a task that has a reservation keeps it unchanged.
    /// \return false if the reservation would exceed the quota; the ledger is then unchanged.
    bool reserve(const TeamName& team, const TaskId& task, const Resources& resources);

    /// Releases the reservation of `task`, if it has one.
    void release(const TaskId& task);

    Resources used(const TeamName& team) const;
    Resources quota(const TeamName& team) const;
    size_t reservationCount() const { return reservations_.size(); }
    bool operator==(const QuotaLedger&) const = default;

private:
    struct Reservation {
        TeamName team_;
        Resources resources_;
        bool operator==(const Reservation&) const = default;
    };

    std::map<TeamName, Resources> quotas_;
    std::map<TeamName, Resources> used_;
    std::map<TaskId, Reservation> reservations_;
};

} // namespace persimmondoor::placement
