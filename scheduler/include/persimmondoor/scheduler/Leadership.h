/// When an entry that does not own the queues should claim them. Pure: observations and time come in.
///
/// A claim is safe at any time: it is a transaction on the version of the leader's row, every write of the former
/// leader is conditional on that row too, and workers that the new leader cannot reach keep their tasks until their
/// leases have surely expired. So this only weighs a short outage against needless changes.
///
/// \code
/// LeadershipStep step = nextStep(state, now);
/// \endcode
#pragma once

#include "persimmondoor/store/Table.h"
#include "persimmondoor/workflow/LeaderView.h"

#include <variant>

namespace persimmondoor::scheduler {

/// Times of failover.
struct FailoverTuning {
    /// The leader is asked this often.
    Duration pingInterval_ { std::chrono::milliseconds(250) };
    /// Without an answer from it, directly or through other entries, for so long, it counts as gone; two pings that
    /// time out and their intervals.
    Duration leaderTimeout_ { std::chrono::milliseconds(900) };
    /// A leader that has just taken over loads its queues and meets all agents and waiting clients at once. For this time
    /// it counts as gone only after a longer silence, so that entries do not take over from each other in turn.
    Duration newLeaderPeriod_ { std::chrono::milliseconds(4000) };
    Duration newLeaderTimeout_ { std::chrono::milliseconds(2500) };
    /// What is left of that time once its host has refused a connection.
    Duration refusedLeaderTimeout_ { std::chrono::milliseconds(200) };
    /// A leader that answers but has not written for so long has lost the store. Leaders write at least twice a second;
    /// a slow store takes up to 0.6 s for a write.
    Duration stallTimeout_ { std::chrono::milliseconds(2000) };
    /// Time that a stalled leader which can be reached is given to write once the store is back: it knows what its
    /// successor could learn only from leases that expire. It tries about ten times in that time.
    Duration writeGrace_ { std::chrono::milliseconds(1000) };
    /// Entries claim one after another by rank, to spare the store needless conflicts.
    Duration claimStagger_ { std::chrono::milliseconds(150) };
    uint32_t rankCount_ { 4 };
    /// Entries with less of a processor than this claim only after the others have had their time: the owner of some
    /// fifty workers uses a tenth of a processor on a quiet day.
    double leaderProcessors_ { 0.2 };
    Duration smallEntryDelay_ { std::chrono::milliseconds(1000) };
    bool operator==(const FailoverTuning&) const = default;
};

struct LeadershipState {
    FailoverTuning tuning_;
    Address self_;
    /// Processors that this entry has.
    double processors_ { 1 };
    /// The leader as known, and the version of its row; 0 if no row has been read.
    workflow::LeaderEpoch epoch_;
    std::optional<Address> leader_;
    store::RowVersion version_;
    /// The row has been read since this process started.
    bool hasReadRow_ { false };
    /// When this process learnt of the leader.
    Instant leaderObservedAt_;
    Instant lastContactAt_;
    /// When the leader's host last refused a connection; what others heard of it before does not count.
    Instant lastRefusalAt_;
    Instant lastWriteAt_;
    /// The store did not answer when the row was last read.
    bool isStoreUnavailable_ { false };
    /// Where a ping is under way to, and when the next is due.
    std::optional<Address> pingTarget_;
    Instant nextPingAt_;
    bool operator==(const LeadershipState&) const = default;
};

/// The leader is fine, as far as is known.
struct KeepFollowing {
    auto operator<=>(const KeepFollowing&) const = default;
};
/// Read the leader's row; claim if it is unchanged and `nextStep` says so again.
struct CheckRow {
    auto operator<=>(const CheckRow&) const = default;
};
using LeadershipStep = std::variant<KeepFollowing, CheckRow>;

LeadershipStep nextStep(const LeadershipState&, Instant now);

/// Takes in the leader's row.
LeadershipState observeRow(LeadershipState, workflow::LeaderEpoch, std::optional<Address>, store::RowVersion, Instant now);

/// Takes in that the leader's row could not be read.
LeadershipState observeStoreFailure(LeadershipState);

/// Takes in what the process at `from` told of the leadership.
LeadershipState observeView(LeadershipState, const Address& from, const workflow::LeaderView&, Instant now);

/// Takes in that the leader's host refused a connection: its process has ended, unless another entry still reaches it.
LeadershipState observeRefusal(LeadershipState, Instant now);

/// The leader, if it is to be pinged now. A ping that is still under way to a former leader is no reason to wait.
std::optional<Address> duePing(const LeadershipState&, Instant now);

/// Takes in that a ping to `leader` has been sent.
LeadershipState beginPing(LeadershipState, const Address& leader, Instant now);

/// Takes in that the ping to `leader` has been answered or given up.
LeadershipState endPing(LeadershipState, const Address& leader);

/// What this process tells others while it follows.
workflow::LeaderView viewOf(const LeadershipState&, Instant now);

} // namespace persimmondoor::scheduler
