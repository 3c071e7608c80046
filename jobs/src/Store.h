// The rows that jobs keep in the table service, and the transactions that change them.
//
//   journal/<partition>/<sequence>  one batch of records
//   snapshot/<partition>            names the object of the newest snapshot and the batch it goes through
//   domain/<name>                   whether a failure domain is in service; absent means that it is
#pragma once

#include "Codec.h"
#include "persimmondoor/jobs/OwnerMessages.h"
#include "persimmondoor/store/Table.h"

namespace persimmondoor::jobs {

// Journal rows erased by one transaction.
inline constexpr uint64_t maximumRowsCut = 128;

std::string journalPrefix(PartitionNumber);
std::string journalKey(PartitionNumber, Sequence);
std::string snapshotKey(PartitionNumber);
std::string snapshotObject(PartitionNumber, Epoch, Sequence through);
inline constexpr std::string_view domainPrefix = "domain/";
std::string domainKey(const FailureDomainName&);

// Takes effect only if the partition's row has still the version `fence`, the batch's row is absent, and each domain's
// row is as it was when the domain was in service.
store::Transaction batchTransaction(PartitionNumber, store::RowVersion fence, const CommitBatch&);

// Names the snapshot, and erases the first `maximumRowsCut` journal rows from `first` on that it holds.
store::Transaction cutTransaction(PartitionNumber, store::RowVersion fence, const SnapshotRow&, Sequence first);

// Reads the rows of domains; one that cannot be read counts as out of service.
std::vector<DomainState> readDomains(const std::vector<store::Row>&);

struct Recovered {
    Ledger ledger_;
    Sequence next_;
    uint64_t batches_ { 0 };
    bool operator==(const Recovered&) const = default;
};

// Applies the journal's rows that `snapshot` does not hold.
// Returns DataLoss if a row is damaged or missing between others.
absl::StatusOr<Recovered> replay(Ledger snapshot, Sequence through, const std::vector<store::Row>& journal);

} // namespace persimmondoor::jobs
