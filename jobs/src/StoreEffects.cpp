#include "Effects.h"
#include "Store.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::jobs {

namespace asio = boost::asio;

static constexpr Duration recoveryRetryDelay = std::chrono::milliseconds(500);
static constexpr Duration fullMailboxDelay = std::chrono::milliseconds(10);
static constexpr size_t scanPageSize = 500;

asio::awaitable<void> postWithRetry(JobsMailbox mailbox, JobsActor::Message message)
{
    while (!mailbox.tryPost(message) && mailbox.isOpen())
        co_await sleepFor(fullMailboxDelay);
}

static asio::awaitable<void> postToOwner(JobsMailbox mailbox, PartitionOwnership ownership, OwnerMessage message)
{
    JobsActor::Message posted = JobsActor::MessageForOwner { ownership.partition_, ownership.epoch_, std::move(message) };
    co_await postWithRetry(std::move(mailbox), std::move(posted));
}

static asio::awaitable<absl::StatusOr<std::vector<store::Row>>> scanAll(store::TableClient table, std::string prefix)
{
    std::vector<store::Row> rows;
    store::Scan range { std::move(prefix), "", scanPageSize };
    while (true) {
        auto part = co_await store::scan(table, range);
        if (!part.ok())
            co_return part.status();
        rows.insert(rows.end(), part->begin(), part->end());
        if (part->size() < scanPageSize)
            co_return rows;
        range.after_ = part->back().key_;
    }
}

static asio::awaitable<absl::StatusOr<RecoveredPartition>> recoverOnce(store::TableClient table, store::ObjectClient objects, PartitionNumber partition)
{
    std::vector<std::string> keys { snapshotKey(partition) };
    auto rows = co_await store::read(table, std::move(keys));
    if (!rows.ok())
        co_return rows.status();
    Ledger ledger;
    Sequence through;
    if (rows->front().version_ != store::RowVersion()) {
        auto snapshot = decodeSnapshotRow(rows->front().value_);
        if (!snapshot.ok())
            co_return snapshot.status();
        auto bytes = co_await store::getObject(objects, snapshot->object_);
        if (!bytes.ok())
            co_return bytes.status();
        auto decoded = decodeSnapshot(*bytes);
        if (!decoded.ok())
            co_return decoded.status();
        ledger = *std::move(decoded);
        through = snapshot->through_;
    }
    auto journal = co_await scanAll(table, journalPrefix(partition));
    if (!journal.ok())
        co_return journal.status();
    auto recovered = replay(std::move(ledger), through, *journal);
    if (!recovered.ok())
        co_return recovered.status();
    co_return RecoveredPartition { std::move(recovered->ledger_), recovered->nextBatch_, recovered->batchesSinceSnapshot_ };
}

asio::awaitable<void> recoverPartition(JobsMailbox mailbox, store::TableClient table, store::ObjectClient objects, PartitionOwnership ownership)
{
    while (mailbox.isOpen()) {
        auto recovered = co_await recoverOnce(table, objects, ownership.partition_);
        if (recovered.ok()) {
            JobsActor::Message posted = JobsActor::PartitionRecovered { ownership.partition_, ownership.epoch_, *std::move(recovered) };
            co_await postWithRetry(mailbox, std::move(posted));
            co_return;
        }
        logWarning("jobs.recovery_failed", { { "partition", std::to_string(ownership.partition_.value()) }, { "error", std::string(recovered.status().message()) } });
        co_await sleepFor(recoveryRetryDelay);
    }
}

asio::awaitable<void> commitBatch(JobsMailbox mailbox, store::TableClient table, PartitionOwnership ownership, CommitBatch commit)
{
    Sequence sequence = commit.batch_.sequence_;
    store::Transaction transaction = batchTransaction(ownership.partition_, ownership.fence_, commit);
    store::CommitOutcome outcome = co_await store::commit(table, std::move(transaction));
    JournalMessage message = std::visit(Visitor {
                                            [&](const store::Committed&) -> JournalMessage { return BatchWritten { sequence }; },
                                            [&](const store::Unavailable&) -> JournalMessage { return BatchRefused { sequence }; },
                                            [&](const auto&) -> JournalMessage { return BatchOutcomeUnknown { sequence }; },
                                        },
        outcome);
    OwnerMessage posted = JournalAnswered { std::move(message) };
    co_await postToOwner(mailbox, ownership, std::move(posted));
}

asio::awaitable<void> readBack(JobsMailbox mailbox, store::TableClient table, PartitionOwnership ownership, Sequence sequence)
{
    std::vector<std::string> keys { journalKey(ownership.partition_, sequence), leases::partitionKey(ownership.partition_) };
    auto rows = co_await store::read(table, std::move(keys));
    auto domainRows = co_await scanAll(table, std::string(domainPrefix));
    if (!rows.ok() || !domainRows.ok()) {
        OwnerMessage posted = JournalAnswered { ReadBackFailed { sequence } };
        co_await postToOwner(mailbox, ownership, std::move(posted));
        co_return;
    }
    BatchReadBack answer { sequence, (*rows)[1].version_ == ownership.fence_, std::nullopt, {} };
    if ((*rows)[0].version_ != store::RowVersion()) {
        auto batch = decodeBatch((*rows)[0].value_);
        if (!batch.ok()) {
            logError("jobs.journal_damaged", { { "row", (*rows)[0].key_ }, { "error", std::string(batch.status().message()) } });
            OwnerMessage posted = JournalAnswered { ReadBackFailed { sequence } };
            co_await postToOwner(mailbox, ownership, std::move(posted));
            co_return;
        }
        answer.row_ = *std::move(batch);
    }
    std::vector<DomainState> domains = readDomains(*domainRows);
    for (const DomainState& domain : domains) {
        if (!domain.inService_)
            answer.closedDomains_.insert(domain.domain_);
    }
    OwnerMessage seen = DomainsRead { std::move(domains) };
    co_await postToOwner(mailbox, ownership, std::move(seen));
    OwnerMessage posted = JournalAnswered { std::move(answer) };
    co_await postToOwner(mailbox, ownership, std::move(posted));
}

asio::awaitable<void> readDomainRows(JobsMailbox mailbox, store::TableClient table)
{
    auto rows = co_await scanAll(table, std::string(domainPrefix));
    if (!rows.ok())
        co_return;
    JobsActor::Message posted = JobsActor::DomainRowsRead { readDomains(*rows) };
    co_await postWithRetry(mailbox, std::move(posted));
}

// Writes the snapshot's row and erases the journal rows that the snapshot contains, `maximumRowsErased` per transaction.
static asio::awaitable<bool> truncateJournal(store::TableClient table, PartitionOwnership ownership, SnapshotRow snapshot)
{
    auto rows = co_await scanAll(table, journalPrefix(ownership.partition_));
    if (!rows.ok())
        co_return false;
    Sequence first = snapshot.through_.next();
    for (const store::Row& row : *rows) {
        auto batch = decodeBatch(row.value_);
        first = std::min(first, batch.ok() ? batch->sequence_ : first);
    }
    do {
        store::Transaction transaction = snapshotTransaction(ownership.partition_, ownership.fence_, snapshot, first);
        store::CommitOutcome outcome = co_await store::commit(table, std::move(transaction));
        if (!std::holds_alternative<store::Committed>(outcome))
            co_return false;
        first = Sequence(first.value() + maximumRowsErased);
    } while (first <= snapshot.through_);
    co_return true;
}

asio::awaitable<void> storeSnapshot(JobsMailbox mailbox, store::TableClient table, store::ObjectClient objects, PartitionOwnership ownership, Sequence through, std::string bytes)
{
    std::vector<std::string> keys { snapshotKey(ownership.partition_) };
    auto previous = co_await store::read(table, std::move(keys));
    std::string object = snapshotObject(ownership.partition_, ownership.epoch_, through);
    absl::Status status = co_await store::putObject(objects, object, std::move(bytes));
    bool stored = previous.ok() && status.ok();
    SnapshotRow row { object, through };
    if (stored)
        stored = co_await truncateJournal(table, ownership, std::move(row));
    if (stored && previous->front().version_ != store::RowVersion()) {
        auto old = decodeSnapshotRow(previous->front().value_);
        if (old.ok() && old->object_ != object)
            co_await store::removeObject(objects, old->object_);
    }
    OwnerMessage posted = SnapshotStored { through, stored };
    co_await postToOwner(mailbox, ownership, std::move(posted));
}

} // namespace persimmondoor::jobs
