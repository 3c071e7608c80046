/// Decides when an entry that does not lead the queues claims the leadership. Pure functions: observations and the time
/// are arguments.
///
/// A claim is safe at any time: it is a transaction conditional on the version of the leader row, every write of the
/// former leader is conditional on that row too, and tasks on workers that the new leader cannot reach stay assigned
/// until their leases have expired, with an allowance for clock drift. These decisions therefore only weigh a short
/// outage against needless changes of leader.
///
/// \code
/// LeadershipStep step = nextStep(state, now);
/// \endcode
#pragma once

#include "persimmondoor/store/Table.h"
#include "persimmondoor/workflow/Client.h"
#include "persimmondoor/workflow/LeaderView.h"

#include <cstddef>
#include <variant>
#include <vector>

namespace persimmondoor::scheduler {

/// Times and bounds of failover.
struct FailoverTuning {
    /// Interval between pings to the leader.
    Duration pingInterval_ { std::chrono::milliseconds(250) };
    /// A leader counts as failed if neither this entry nor any other that reports its contacts has had an answer from the
    /// leader for this long. Covers one interval, a ping that times out after 400 ms, and 250 ms for the answer to the
    /// next ping.
    Duration leaderTimeout_ { std::chrono::milliseconds(900) };
    /// A leader that has just taken over loads its queues and gets the reports of all agents and the calls of all waiting
    /// clients at once. For `newLeaderPeriod_` it counts as failed only after `newLeaderTimeout_`, so that entries do not
    /// take over from each other in turn.
    Duration newLeaderPeriod_ { std::chrono::milliseconds(4000) };
    Duration newLeaderTimeout_ { std::chrono::milliseconds(2500) };
    /// Largest remainder of either time-out once the leader's host has refused a connection.
    Duration refusedLeaderTimeout_ { std::chrono::milliseconds(200) };
    /// A leader that answers pings but has not written for this long has lost the store. Leaders write at least twice a
    /// second; a slow store takes up to 0.6 s for a write.
    Duration stallTimeout_ { std::chrono::milliseconds(2000) };
    /// Time that a stalled but reachable leader gets to write once the store is available again. That leader knows which
    /// tasks run, whereas a successor may have to wait for leases to expire. A stalled leader retries its write about ten
    /// times in this time.
    Duration writeGrace_ { std::chrono::milliseconds(1000) };
    /// Delay between the claims of entries of successive ranks; avoids conflicting transactions.
    Duration claimStagger_ { std::chrono::milliseconds(150) };
    /// Number of ranks. A hash of its address and the epoch gives each entry a rank from 0; two entries may have the same.
    uint32_t rankCount_ { 4 };
    /// Entries with fewer processors than this claim later than the others, by `smallEntryDelay_`. The leader of about
    /// fifty workers uses a tenth of a processor under low load.
    double leaderProcessors_ { 0.2 };
    /// A bound on the leader's clock is replaced by a lower one after this time, in which clocks drift apart by about a
    /// millisecond.
    Duration clockValidity_ { std::chrono::seconds(10) };
    Duration smallEntryDelay_ { std::chrono::milliseconds(1000) };
    bool operator==(const FailoverTuning&) const = default;
};

/// How far the steady clock of a leader's host is ahead of this one's: a lower bound, too low by the time that a view of the leader
/// took to arrive.
struct LeaderClock {
    workflow::LeaderEpoch epoch_;
    Duration lead_ { 0 };
    /// When the view arrived; clocks drift apart.
    Instant observedAt_;
    auto operator<=>(const LeaderClock&) const = default;
};

struct LeadershipState {
    FailoverTuning tuning_;
    Address self_;
    /// Processors available to this entry.
    double processors_ { 1 };
    /// Newest known epoch and leader, and the version of the leader row; version 0 if no row has been read.
    workflow::LeaderEpoch epoch_;
    std::optional<Address> leader_;
    store::RowVersion version_;
    /// The row has been read since this process started or last stepped down.
    bool hasReadRow_ { false };
    /// When this process first observed the present leader.
    Instant leaderObservedAt_;
    /// When the leader last answered this process or, as reported, another entry.
    Instant lastContactAt_;
    /// When the leader's host last refused a connection; contacts that others report from before are ignored.
    Instant lastRefusalAt_;
    /// When the leader last wrote durably, as far as this process knows.
    Instant lastWriteAt_;
    /// The last attempt to read the row failed.
    bool isStoreUnavailable_ { false };
    /// Target of the ping in flight, if any, and when the next ping is due.
    std::optional<Address> pingTarget_;
    Instant nextPingAt_;
    /// The highest bound that a view of the leader has given within `FailoverTuning::clockValidity_`.
    std::optional<LeaderClock> leaderClock_;
    bool operator==(const LeadershipState&) const = default;
};

/// The leader has not failed, as far as this entry knows.
struct KeepFollowing {
    auto operator<=>(const KeepFollowing&) const = default;
};
/// Read the leader row, and claim the leadership if `nextStep` still returns CheckRow after the row has been observed.
struct CheckRow {
    auto operator<=>(const CheckRow&) const = default;
};
using LeadershipStep = std::variant<KeepFollowing, CheckRow>;

/// Decides whether this entry keeps following the leader or checks the leader row.
LeadershipStep nextStep(const LeadershipState&, Instant now);

/// Updates the state from the leader row.
LeadershipState observeRow(LeadershipState, workflow::LeaderEpoch, std::optional<Address>, store::RowVersion, Instant now);

/// Records that the leader row could not be read.
LeadershipState observeStoreFailure(LeadershipState);

/// Updates the state from the view of the leadership that the process at `from` has sent.
LeadershipState observeView(LeadershipState, const Address& from, const workflow::LeaderView&, Instant now);

/// When a call that this entry gives up at `deadline` expires at the present leader, at the latest at that time.
/// \return the expiry; nothing if the leader's clock is not known.
std::optional<workflow::CallExpiry> expiryOf(const LeadershipState&, Instant deadline);

/// True if the call must not take effect any more in the term of `epoch`, whose leader's clock reads `now`. A call with an expiry by
/// the clock of another leader has expired, as its time cannot be compared.
bool hasExpired(const workflow::ClientCall&, workflow::LeaderEpoch epoch, Instant now);

/// Records that the leader's host refused a connection: the leader's process has ended, unless another entry reports a
/// later contact.
LeadershipState observeRefusal(LeadershipState, Instant now);

/// The leader, if a ping to it is due. A ping to a former leader that is still in flight does not delay it.
std::optional<Address> duePing(const LeadershipState&, Instant now);

/// Records that a ping to `leader` has been sent.
LeadershipState beginPing(LeadershipState, const Address& leader, Instant now);

/// Records that the ping to `leader` has been answered, has failed or has timed out.
LeadershipState endPing(LeadershipState, const Address& leader);

/// The view of the leadership that this process sends to others while it follows.
workflow::LeaderView viewOf(const LeadershipState&, Instant now);

/// Bound on the entries through which one attempt of a call is sent to a leader that this entry does not reach. With one
/// attempt each 60 ms, a call reaches the leader through any of some dozens of entries within its time.
inline constexpr size_t maximumRelays = 3;

/// The entries through which a call is sent to the leader. If a call were sent through all entries, a leader that is slow to
/// answer would get each call as many times as there are entries.
/// \param turn rises with each call, so that calls start at different entries.
std::vector<Address> chooseRelays(const std::vector<Address>& peers, const Address& leader, size_t turn);

} // namespace persimmondoor::scheduler
