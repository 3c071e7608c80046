/// An entry's view of the workers that announced themselves: which are present, with which endpoints. Pure state and
/// decisions, without I/O.
///
/// \code
/// ViewDecision decision = decide(View(), Announced { announcement }, now);
/// // decision.state_ is the new view; decision.actions_ are the changes that the router has to apply
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/membership/Announcement.h"

#include <map>
#include <variant>

namespace persimmondoor::membership {

/// A worker is removed from the view when no message of it arrived for this time and for three of its keepalive
/// intervals.
inline constexpr Duration announcementExpiry = std::chrono::seconds(3);
/// Byte budget of one keepalive and its answer.
inline constexpr uint64_t keepAliveBytes = 300;
/// Bytes per second that an entry spends on keepalives: three quarters of a node's budget for control traffic.
inline constexpr uint64_t keepAliveBytesPerSecond = 3000;
/// Upper bound on the interval of keepalives.
inline constexpr Duration maximumKeepAliveInterval = std::chrono::minutes(15);

/// Interval of a worker's keepalives when `members` workers are present: at least a second, and long enough for the
/// keepalives of all workers to stay within `keepAliveBytesPerSecond`.
Duration keepAliveInterval(size_t members);

/// Time for which the last announcement of a worker that left or expired is kept as a tombstone, so that a delayed
/// announcement of the same incarnation cannot add the worker again.
inline constexpr Duration tombstoneRetention = std::chrono::minutes(10);

/// An announcement arrived.
struct Announced {
    Announcement announcement_;
    auto operator<=>(const Announced&) const = default;
};

/// A worker is present, and its last announcement is still valid. Ignored if the worker is not present in this
/// incarnation, or if the sequence is not higher than the last one.
struct KeepAlive {
    WorkerName worker_;
    Incarnation incarnation_;
    Sequence sequence_;
    auto operator<=>(const KeepAlive&) const = default;
};

/// A member of another entry's view; a tombstone if it is not present.
struct PeerMember {
    Announcement announcement_;
    bool isPresent_ { false };
    auto operator<=>(const PeerMember&) const = default;
};

/// Periodic check: removes workers whose keepalives have stopped, and expired tombstones.
struct ExpiryCheckDue {
    auto operator<=>(const ExpiryCheckDue&) const = default;
};

using ViewMessage = std::variant<Announced, KeepAlive, PeerMember, ExpiryCheckDue>;

/// Requests may be routed to the worker's endpoints as announced.
struct WorkerUp {
    Announcement announcement_;
    auto operator<=>(const WorkerUp&) const = default;
};

/// No request may be routed to the worker's endpoints any more.
struct WorkerGone {
    WorkerName worker_;
    auto operator<=>(const WorkerGone&) const = default;
};

using ViewAction = std::variant<WorkerUp, WorkerGone>;

/// A worker in the view: its last announcement and whether it is present. A member that is not present is a tombstone.
struct Member {
    Announcement announcement_;
    Instant lastMessageAt_;
    /// Interval of keepalives that the last answer to the agent contained.
    Duration keepAliveInterval_ { 0 };
    bool isPresent_ { false };
    /// Version of the view at the member's last change that other entries need.
    uint64_t changedInVersion_ { 0 };
    auto operator<=>(const Member&) const = default;
};

class View {
public:
    const std::map<WorkerName, Member>& members() const { return members_; }
    /// Increases with each change of a member's offer or presence.
    uint64_t version() const { return version_; }
    /// The members that changed after `version`.
    std::vector<PeerMember> changesAfter(uint64_t version) const;
    /// True if the worker is present in this incarnation, so that a keepalive suffices in place of an announcement.
    bool isKnown(const WorkerName&, Incarnation) const;
    /// Number of workers that are present.
    size_t presentCount() const { return presentCount_; }
    bool operator==(const View&) const = default;

private:
    friend struct ViewRules;
    std::map<WorkerName, Member> members_;
    uint64_t version_ { 0 };
    size_t presentCount_ { 0 };
};

struct ViewDecision {
    View state_;
    std::vector<ViewAction> actions_;
    bool operator==(const ViewDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
ViewDecision decide(View state, const ViewMessage& message, Instant now);

} // namespace persimmondoor::membership
