// Encodes journal batches, snapshots, rows and operators' requests for Cap'n Proto.
#pragma once

#include "Jobs.capnp.h"
#include "persimmondoor/jobs/Ledger.h"
#include "persimmondoor/jobs/Requests.h"

namespace persimmondoor::jobs {

// Journal rows and snapshots are packed; each decode returns DataLoss for bytes that are no such message.
std::string encode(const Batch&);
absl::StatusOr<Batch> decodeBatch(const std::string&);

std::string encodeSnapshot(const Ledger&);
absl::StatusOr<Ledger> decodeSnapshot(const std::string&);

// The row that names the newest snapshot of a partition.
struct SnapshotRow {
    std::string object_;
    Sequence through_;
    auto operator<=>(const SnapshotRow&) const = default;
};
std::string encode(const SnapshotRow&);
absl::StatusOr<SnapshotRow> decodeSnapshotRow(const std::string&);

struct DomainRow {
    bool inService_ { true };
    std::string change_;
    int64_t changedAt_ { 0 };
    auto operator<=>(const DomainRow&) const = default;
};
std::string encode(const DomainRow&);
absl::StatusOr<DomainRow> decodeDomainRow(const std::string&);

void encode(const JobSpec&, wire::Spec::Builder);
absl::StatusOr<JobSpec> decode(wire::Spec::Reader);

void encode(const JobsRequest&, wire::Request::Builder);
absl::StatusOr<JobsRequest> decode(wire::Request::Reader);
void encode(const JobsAnswer&, wire::Answer::Builder);
JobsAnswer decode(wire::Answer::Reader);

} // namespace persimmondoor::jobs
