/// What each team uses of its quota.
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
    /// \param quotas most that each team may use at once. A team that is not named may use nothing.
    static QuotaLedger create(std::map<TeamName, Resources> quotas);

    /// The same ledger with other quotas. What is reserved stays reserved, also above a smaller quota.
    QuotaLedger withQuotas(std::map<TeamName, Resources> quotas) const;

    /// Says whether `resources` more would stay within the quota of `team`.
    /// \return empty text if so, else the amounts that are exceeded.
    std::string excess(const TeamName& team, const Resources& resources) const;

    /// Reserves `resources` for `task`. Idempotent: a task that holds a reservation keeps the first one.
    /// \return false if it would exceed the quota; then nothing has changed.
    bool reserve(const TeamName& team, const TaskId& task, const Resources& resources);

    /// Gives back what `task` holds; does nothing if it holds none.
    void release(const TaskId& task);

    Resources used(const TeamName& team) const;
    Resources quota(const TeamName& team) const;
    size_t reservations() const { return reservations_.size(); }
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
