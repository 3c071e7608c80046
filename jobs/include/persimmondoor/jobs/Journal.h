/// Decides what goes into which transaction of a partition's journal: one batch at a time, urgent records at once, others
/// when the batch window ends. Nothing counts as durable before the table service has said so; after a lost reply the
/// row is read back, and what it holds decides.
///
/// \code
/// JournalDecision decision = decide(Journal::create(Epoch(3), Sequence(1)), Proposed { records, Lane::Urgent }, now);
/// // decision.actions_: WriteBatch; later BatchDurable
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/jobs/Record.h"

#include <deque>
#include <optional>
#include <set>

namespace persimmondoor::jobs {

/// Longest wait of a record of the batch lane before it is written.
inline constexpr Duration batchWindow = std::chrono::seconds(1);
/// Most bytes of one batch, by estimate.
inline constexpr size_t maximumBatchBytes = 128 * 1024;
/// Records of the batch lane that are written without waiting for the window's end.
inline constexpr size_t fullBatchBytes = 64 * 1024;
/// Waits between tries while the table service is down: the first, and the most that doubling gives.
inline constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
inline constexpr Duration maximumRetryDelay = std::chrono::seconds(5);

enum class Lane { Urgent,
    Batch };

/// One journal row. `epoch_` and `sequence_` name it; no other owner writes the same pair.
struct Batch {
    Epoch epoch_;
    Sequence sequence_;
    std::vector<Record> records_;
    bool operator==(const Batch&) const = default;
};

/// Records that shall become durable, in their order.
struct Proposed {
    std::vector<Record> records_;
    Lane lane_ { Lane::Batch };
    bool operator==(const Proposed&) const = default;
};

/// The write took effect.
struct BatchWritten {
    Sequence sequence_;
    auto operator<=>(const BatchWritten&) const = default;
};

/// The service refused; the write did not take effect.
struct BatchRefused {
    Sequence sequence_;
    auto operator<=>(const BatchRefused&) const = default;
};

/// A condition failed, or no reply came.
struct BatchOutcomeUnknown {
    Sequence sequence_;
    auto operator<=>(const BatchOutcomeUnknown&) const = default;
};

/// What the store holds where the batch should be.
struct BatchReadBack {
    Sequence sequence_;
    /// False if another process owns the partition by now.
    bool owned_ { true };
    /// The journal row, if there is one.
    std::optional<Batch> row_;
    /// Domains that are out of service now; no start may be written for them.
    std::set<FailureDomainName> closedDomains_;
    bool operator==(const BatchReadBack&) const = default;
};

/// The row could not be read.
struct ReadBackFailed {
    Sequence sequence_;
    auto operator<=>(const ReadBackFailed&) const = default;
};

struct JournalTimePassed {
    auto operator<=>(const JournalTimePassed&) const = default;
};

using JournalMessage = std::variant<Proposed, BatchWritten, BatchRefused, BatchOutcomeUnknown, BatchReadBack, ReadBackFailed, JournalTimePassed>;

/// Write the batch, on the conditions that its row is absent, that the partition is still owned, and that the domain of
/// each start in it is in service.
struct WriteBatch {
    Batch batch_;
    bool operator==(const WriteBatch&) const = default;
};

/// Read the batch's row, the owner's row and the domains' rows.
struct ReadBack {
    Sequence sequence_;
    auto operator<=>(const ReadBack&) const = default;
};

/// The batch is durable: apply it.
struct BatchDurable {
    Batch batch_;
    bool operator==(const BatchDurable&) const = default;
};

/// These starts were taken out of the batch, as their domain is out of service.
struct StartsDropped {
    std::vector<TaskAssigned> starts_;
    bool operator==(const StartsDropped&) const = default;
};

/// Another process owns the partition: stop at once.
struct OwnershipLost {
    auto operator<=>(const OwnershipLost&) const = default;
};

using JournalAction = std::variant<WriteBatch, ReadBack, BatchDurable, StartsDropped, OwnershipLost>;

class Journal {
public:
    /// \param next sequence of the first batch to be written.
    static Journal create(Epoch epoch, Sequence next);

    /// Records that are not durable yet.
    size_t pending() const;
    /// Sequence of the next batch to be written, or of the one under way.
    Sequence next() const { return next_; }
    /// True while the table service does not take writes.
    bool isStalled() const { return retryDelay_ > Duration(0); }
    bool isLost() const { return lost_; }
    bool operator==(const Journal&) const = default;

private:
    friend struct JournalRules;
    enum class Stage { Idle,
        Writing,
        ReadingBack,
        WaitingToWrite,
        WaitingToRead };

    Epoch epoch_;
    Sequence next_;
    Stage stage_ { Stage::Idle };
    Batch batchInFlight_;
    std::deque<Record> urgent_;
    std::deque<Record> batch_;
    size_t batchBytes_ { 0 };
    Instant windowEnd_;
    Instant retryAt_;
    Duration retryDelay_ { 0 };
    bool lost_ { false };
};

struct JournalDecision {
    Journal state_;
    std::vector<JournalAction> actions_;
    bool operator==(const JournalDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
JournalDecision decide(Journal state, const JournalMessage& message, Instant now);

/// Estimated size of a record in the journal, in bytes.
size_t estimateBytes(const Record&);

} // namespace persimmondoor::jobs
