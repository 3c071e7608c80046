// The text of the rows of ownership.
#pragma once

#include "persimmondoor/leases/Ownership.h"

namespace persimmondoor::leases {

inline constexpr std::string_view partitionPrefix = "partition/";
inline constexpr std::string_view ownerPrefix = "owner/";

// The heartbeat of one owner.
struct OwnerRow {
    Incarnation incarnation_;
    uint64_t heartbeat_ { 0 };
    auto operator<=>(const OwnerRow&) const = default;
};

std::string ownerKey(const ProcessName&);
std::string encode(const OwnerRow&);
absl::StatusOr<OwnerRow> decodeOwnerRow(std::string_view);

// The partition of a row's key, or nothing.
std::optional<PartitionNumber> partitionOf(std::string_view key);
// The process of a heartbeat's key, or nothing.
std::optional<ProcessName> processOf(std::string_view key);

} // namespace persimmondoor::leases
