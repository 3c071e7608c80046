// The rows of this slice in the table service, and the transactions that change them.
//
//   journal/<partition>/<sequence>  one batch of records
//   snapshot/<partition>            names the object of the newest snapshot and the last batch that it contains
//   domain/<name>                   whether a failure domain is in service; if absent, the domain is in service
#pragma once

#include "Codec.h"
#include "persimmondoor/jobs/OwnerMessages.h"
#include "persimmondoor/store/Table.h"

namespace persimmondoor::jobs {

// Maximum number of journal rows that one transaction erases.
inline constexpr uint64_t maximumRowsErased = 128;

std::string journalPrefix(PartitionNumber);
std::string journalKey(PartitionNumber, Sequence);
std::string snapshotKey(PartitionNumber);
std::string snapshotObject(PartitionNumber, Epoch, Sequence through);
inline constexpr std::string_view domainPrefix = "domain/";
std::string domainKey(const FailureDomainName&);

// Returns the transaction that writes the batch on the conditions that the partition's row has the version `fence`, that the
// batch's row is absent, and that the row of each domain has the version at which the domain was last in service.
store::Transaction batchTransaction(PartitionNumber, store::RowVersion fence, const CommitBatch&);

// Returns the transaction that writes the row that names the snapshot, and erases journal rows that the snapshot contains: at
// most `maximumRowsErased`, from batch `first` on.
store::Transaction snapshotTransaction(PartitionNumber, store::RowVersion fence, const SnapshotRow&, Sequence first);

// Decodes the rows of failure domains. A domain whose row is malformed counts as out of service.
std::vector<DomainState> readDomains(const std::vector<store::Row>&);

struct ReplayResult {
    Ledger ledger_;
    Sequence nextBatch_;
    uint64_t batchesSinceSnapshot_ { 0 };
    bool operator==(const ReplayResult&) const = default;
};

// Applies the journal rows after batch `through`, the last one that `snapshot` contains.
// Returns DataLoss if a row is malformed or the sequence has a gap.
absl::StatusOr<ReplayResult> replay(Ledger snapshot, Sequence through, const std::vector<store::Row>& journal);

} // namespace persimmondoor::jobs
