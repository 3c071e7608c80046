#include "Store.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/leases/Ownership.h"

#include <algorithm>
#include <cstdio>

namespace persimmondoor::jobs {

std::string journalPrefix(PartitionNumber partition)
{
    return concat("journal/", partition.value(), "/");
}

std::string journalKey(PartitionNumber partition, Sequence sequence)
{
    // Zero-padded, so that keys sort by sequence.
    std::string digits = std::to_string(sequence.value());
    return concat(journalPrefix(partition), std::string(20 - digits.size(), '0'), digits);
}

std::string snapshotKey(PartitionNumber partition)
{
    return concat("snapshot/", partition.value());
}

std::string snapshotObject(PartitionNumber partition, Epoch epoch, Sequence through)
{
    return concat("jobs/", partition.value(), "/", through.value(), "-", epoch.value());
}

std::string domainKey(const FailureDomainName& domain)
{
    return concat(domainPrefix, domain.value());
}

store::Transaction batchTransaction(PartitionNumber partition, store::RowVersion fence, const CommitBatch& commit)
{
    std::string row = journalKey(partition, commit.batch_.sequence_);
    store::Transaction transaction { { { row, store::RowVersion() }, { leases::partitionKey(partition), fence } }, { store::Put { row, encode(commit.batch_) } } };
    for (const auto& [domain, version] : commit.domains_)
        transaction.conditions_.push_back({ domainKey(domain), version });
    return transaction;
}

store::Transaction snapshotTransaction(PartitionNumber partition, store::RowVersion fence, const SnapshotRow& snapshot, Sequence first)
{
    store::Transaction transaction { { { leases::partitionKey(partition), fence } }, { store::Put { snapshotKey(partition), encode(snapshot) } } };
    uint64_t end = std::min(snapshot.through_.value() + 1, first.value() + maximumRowsErased);
    for (uint64_t sequence = first.value(); sequence < end; ++sequence)
        transaction.writes_.emplace_back(store::Erase { journalKey(partition, Sequence(sequence)) });
    return transaction;
}

std::vector<DomainState> readDomains(const std::vector<store::Row>& rows)
{
    std::vector<DomainState> domains;
    for (const store::Row& row : rows) {
        auto name = FailureDomainName::create(row.key_.substr(std::min(row.key_.size(), domainPrefix.size())));
        if (!name.ok())
            continue;
        auto value = decodeDomainRow(row.value_);
        domains.push_back({ *name, value.ok() && value->inService_, row.version_ });
    }
    return domains;
}

absl::StatusOr<ReplayResult> replay(Ledger snapshot, Sequence through, const std::vector<store::Row>& journal)
{
    ReplayResult recovered { std::move(snapshot), through.next(), 0 };
    for (const store::Row& row : journal) {
        auto batch = decodeBatch(row.value_);
        if (!batch.ok())
            return absl::DataLossError(concat(row.key_, ": ", std::string(batch.status().message())));
        // An interrupted truncation may have left rows that the snapshot contains.
        if (batch->sequence_ < recovered.nextBatch_)
            continue;
        if (batch->sequence_ != recovered.nextBatch_)
            return absl::DataLossError(concat(row.key_, ": gap in the journal: batch ", recovered.nextBatch_.value(), " is missing"));
        recovered.ledger_ = applyRecords(std::move(recovered.ledger_), batch->records_).ledger_;
        recovered.nextBatch_ = recovered.nextBatch_.next();
        ++recovered.batchesSinceSnapshot_;
    }
    return recovered;
}

} // namespace persimmondoor::jobs
