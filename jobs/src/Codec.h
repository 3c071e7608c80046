// Encodes and decodes journal batches, snapshots, rows and operators' requests with Cap'n Proto.
#pragma once

#include "Jobs.capnp.h"
#include "persimmondoor/jobs/Ledger.h"
#include "persimmondoor/jobs/Requests.h"

namespace persimmondoor::jobs {

// Rows and snapshots are packed messages. Their decode functions return DataLoss for malformed bytes.
std::string encode(const Batch&);
absl::StatusOr<Batch> decodeBatch(const std::string&);

std::string encodeSnapshot(const Ledger&);
absl::StatusOr<Ledger> decodeSnapshot(const std::string&);

// The row that names the newest snapshot of a partition and the last batch that the snapshot contains.
struct SnapshotRow {
    std::string object_;
    Sequence through_;
    auto operator<=>(const SnapshotRow&) const = default;
};
std::string encode(const SnapshotRow&);
absl::StatusOr<SnapshotRow> decodeSnapshotRow(const std::string&);

// The row of one failure domain.
struct DomainRow {
    bool inService_ { true };
    // Identifies the change that wrote the row, so that its writer recognises it after a lost reply.
    std::string change_;
    // Milliseconds since 1970 UTC.
    int64_t changedAt_ { 0 };
    auto operator<=>(const DomainRow&) const = default;
};
std::string encode(const DomainRow&);
absl::StatusOr<DomainRow> decodeDomainRow(const std::string&);

void encode(const JobSpec&, wire::Spec::Builder);
absl::StatusOr<JobSpec> decode(wire::Spec::Reader);

// Requests come from other processes: decoding returns InvalidArgument for malformed data.
void encode(const JobsRequest&, wire::Request::Builder);
absl::StatusOr<JobsRequest> decode(wire::Request::Reader);
void encode(const JobsAnswer&, wire::Answer::Builder);
// Returns OutcomeUnknown for a malformed answer.
JobsAnswer decode(wire::Answer::Reader);

} // namespace persimmondoor::jobs
