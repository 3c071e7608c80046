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

/// A worker not heard of for this long, or for three of the intervals that it was told, is taken out of the view.
inline constexpr Duration announcementExpiry = std::chrono::seconds(3);
/// Bytes allowed for one keepalive with its answer.
inline constexpr uint64_t keepAliveBytes = 300;
/// Bytes a second that an entry spends on keepalives: three quarters of what a node may spend on control.
inline constexpr uint64_t keepAliveBytesPerSecond = 3000;
/// Longest time between two keepalives.
inline constexpr Duration maximumKeepAliveInterval = std::chrono::minutes(15);

/// Time between two keepalives of a worker when the entry knows `members` workers: at least a second, and so long that
/// all of them stay within `keepAliveBytesPerSecond`.
Duration keepAliveInterval(size_t members);

/// The last word of a worker that left or expired is kept this long, so that a late announcement of the same
/// incarnation cannot bring it back.
inline constexpr Duration tombstoneRetention = std::chrono::minutes(10);

/// An announcement arrived.
struct Announced {
    Announcement announcement_;
    auto operator<=>(const Announced&) const = default;
};

/// A worker is still there, as announced before. Ignored for a worker or incarnation that is not known.
struct KeptAlive {
    WorkerName worker_;
    Incarnation incarnation_;
    Sequence sequence_;
    auto operator<=>(const KeptAlive&) const = default;
};

/// Another entry's knowledge of a worker; one that is not present is a tombstone.
struct Learned {
    Announcement announcement_;
    bool present_ { false };
    auto operator<=>(const Learned&) const = default;
};

/// Time to look for silent workers.
struct Swept {
    auto operator<=>(const Swept&) const = default;
};

using ViewMessage = std::variant<Announced, KeptAlive, Learned, Swept>;

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
    /// Time between keepalives that its agent was told then.
    Duration interval_ { 0 };
    bool present_ { false };
    /// Version of the view at the last change that other entries have to learn.
    uint64_t changedAt_ { 0 };
    auto operator<=>(const Member&) const = default;
};

class View {
public:
    const std::map<WorkerName, Member>& members() const { return members_; }
    /// Rises with each change of a member's offer or presence.
    uint64_t version() const { return version_; }
    /// The members that changed after `version`.
    std::vector<Learned> changesAfter(uint64_t version) const;
    /// True if a keepalive of this incarnation is enough.
    bool knows(const WorkerName&, Incarnation) const;
    size_t present() const { return present_; }
    bool operator==(const View&) const = default;

private:
    friend struct ViewRules;
    std::map<WorkerName, Member> members_;
    uint64_t version_ { 0 };
    size_t present_ { 0 };
};

struct ViewDecision {
    View state_;
    std::vector<ViewAction> actions_;
    bool operator==(const ViewDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
ViewDecision decide(View state, const ViewMessage& message, Instant now);

} // namespace persimmondoor::membership
