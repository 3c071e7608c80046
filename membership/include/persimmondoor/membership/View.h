/// An entry's view of the workers that announced themselves: decisions only.
///
/// \code
/// ViewDecision decision = decide(View(), Announced { announcement }, now);
/// // decision.state_ is the new view, decision.actions_ what routing has to learn
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/membership/Announcement.h"

#include <map>
#include <variant>

namespace persimmondoor::membership {

/// A worker not heard of for this long is taken out of the view.
inline constexpr Duration announcementExpiry = std::chrono::seconds(3);
/// The last word of a worker that left or expired is kept this long, so that a late announcement of the same
/// incarnation cannot bring it back.
inline constexpr Duration tombstoneRetention = std::chrono::minutes(10);

/// An announcement arrived.
struct Announced {
    Announcement announcement_;
    auto operator<=>(const Announced&) const = default;
};

/// Time to look for silent workers.
struct Swept {
    auto operator<=>(const Swept&) const = default;
};

using ViewMessage = std::variant<Announced, Swept>;

/// The worker's endpoints may be chosen, as announced.
struct WorkerUp {
    Announcement announcement_;
    auto operator<=>(const WorkerUp&) const = default;
};

/// None of the worker's endpoints may be chosen.
struct WorkerGone {
    WorkerName worker_;
    auto operator<=>(const WorkerGone&) const = default;
};

using ViewAction = std::variant<WorkerUp, WorkerGone>;

/// The last announcement of one worker.
struct Member {
    Announcement announcement_;
    Instant heardAt_;
    bool present_ { false };
    auto operator<=>(const Member&) const = default;
};

class View {
public:
    const std::map<WorkerName, Member>& members() const { return members_; }
    bool operator==(const View&) const = default;

private:
    friend struct ViewRules;
    std::map<WorkerName, Member> members_;
};

struct ViewDecision {
    View state_;
    std::vector<ViewAction> actions_;
    bool operator==(const ViewDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
ViewDecision decide(View state, const ViewMessage& message, Instant now);

} // namespace persimmondoor::membership
