/// Groups the records of a partition into journal batches, one table transaction each. One batch is in flight at a time;
/// urgent records are written at once, deferred records when the batch window ends. A record is durable only once the
/// table service has confirmed its batch. If the outcome of a write is unknown, the row is read back, and its content
/// determines what is durable.
///
/// \code
/// JournalDecision decision = decide(Journal::create(Epoch(3), Sequence(1)), AppendRequested { records, Lane::Urgent }, now);
/// // decision.actions_ holds a WriteBatch; a later BatchWritten leads to BatchDurable
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/jobs/Record.h"

#include <deque>
#include <optional>
#include <set>

namespace persimmondoor::jobs {

/// Maximum time that a deferred record waits before it is written, while no other batch is in flight.
inline constexpr Duration batchWindow = std::chrono::seconds(1);
/// Size limit of one batch, in estimated bytes. A batch exceeds it by less than one record.
inline constexpr size_t maximumBatchBytes = 128 * 1024;
/// Size of the deferred records, in estimated bytes, at which they are written before the batch window ends.
inline constexpr size_t deferredFlushBytes = 64 * 1024;
/// Backoff between retries while the table service is unavailable: the first delay, and the maximum that doubling reaches.
inline constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
inline constexpr Duration maximumRetryDelay = std::chrono::seconds(5);

/// Whether records are written at once or wait for the batch window.
enum class Lane { Urgent,
    Deferred };

/// One journal row, identified by `epoch_` and `sequence_`. No other owner writes a row with the same pair.
struct Batch {
    Epoch epoch_;
    Sequence sequence_;
    std::vector<Record> records_;
    bool operator==(const Batch&) const = default;
};

/// Records to be made durable, in their order.
struct AppendRequested {
    std::vector<Record> records_;
    Lane lane_ { Lane::Deferred };
    bool operator==(const AppendRequested&) const = default;
};

/// The batch was written.
struct BatchWritten {
    Sequence sequence_;
    auto operator<=>(const BatchWritten&) const = default;
};

/// The table service refused the transaction; the batch was not written.
struct BatchRefused {
    Sequence sequence_;
    auto operator<=>(const BatchRefused&) const = default;
};

/// A condition of the transaction failed, or its reply was lost: the batch may have been written.
struct BatchOutcomeUnknown {
    Sequence sequence_;
    auto operator<=>(const BatchOutcomeUnknown&) const = default;
};

/// The content of the store at the sequence of the batch in flight.
struct BatchReadBack {
    Sequence sequence_;
    /// False if another process owns the partition.
    bool isOwned_ { true };
    /// The journal row at that sequence, if it exists.
    std::optional<Batch> row_;
    /// Failure domains that are out of service; no start may be written for them.
    std::set<FailureDomainName> closedDomains_;
    bool operator==(const BatchReadBack&) const = default;
};

/// The store could not be read.
struct ReadBackFailed {
    Sequence sequence_;
    auto operator<=>(const ReadBackFailed&) const = default;
};

struct JournalTimePassed {
    auto operator<=>(const JournalTimePassed&) const = default;
};

using JournalMessage = std::variant<AppendRequested, BatchWritten, BatchRefused, BatchOutcomeUnknown, BatchReadBack, ReadBackFailed, JournalTimePassed>;

/// Write the batch on the conditions that its row is absent, that this process still owns the partition, and that the
/// failure domain of each start in the batch is in service.
struct WriteBatch {
    Batch batch_;
    bool operator==(const WriteBatch&) const = default;
};

/// Read the rows of the batch, of the partition and of the failure domains.
struct ReadBack {
    Sequence sequence_;
    auto operator<=>(const ReadBack&) const = default;
};

/// The batch is durable: apply its records.
struct BatchDurable {
    Batch batch_;
    bool operator==(const BatchDurable&) const = default;
};

/// These starts were removed from the batch, as their failure domain is out of service.
struct StartsDropped {
    std::vector<TaskAssigned> starts_;
    bool operator==(const StartsDropped&) const = default;
};

/// Another process owns the partition: write nothing more.
struct OwnershipLost {
    auto operator<=>(const OwnershipLost&) const = default;
};

using JournalAction = std::variant<WriteBatch, ReadBack, BatchDurable, StartsDropped, OwnershipLost>;

/// The state of a partition's journal at its owner.
class Journal {
public:
    /// \param nextBatch sequence of the first batch to be written.
    static Journal create(Epoch epoch, Sequence nextBatch);

    /// Number of records that are not durable yet.
    size_t pending() const;
    /// Sequence of the batch in flight, or else of the next batch.
    Sequence nextBatch() const { return nextBatch_; }
    /// True while the table service is unavailable: the last write or read is to be retried.
    bool isStalled() const { return retryDelay_ > Duration(0); }
    /// True once another process owns the partition; the journal then ignores all messages.
    bool isOwnershipLost() const { return isOwnershipLost_; }
    bool operator==(const Journal&) const = default;

private:
    friend struct JournalRules;
    enum class Stage { Idle,
        Writing,
        ReadingBack,
        WaitingToWrite,
        WaitingToRead };

    Epoch epoch_;
    Sequence nextBatch_;
    Stage stage_ { Stage::Idle };
    Batch batchInFlight_;
    std::deque<Record> urgent_;
    std::deque<Record> deferred_;
    size_t deferredBytes_ { 0 };
    Instant windowEnd_;
    Instant retryAt_;
    Duration retryDelay_ { 0 };
    bool isOwnershipLost_ { false };
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
