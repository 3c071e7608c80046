// Keys and text encoding of the rows of ownership.
#pragma once

#include "persimmondoor/leases/Ownership.h"

namespace persimmondoor::leases {

inline constexpr std::string_view partitionPrefix = "partition/";
inline constexpr std::string_view ownerPrefix = "owner/";

// Content of the heartbeat row of one owner.
struct OwnerRow {
    Incarnation incarnation_;
    uint64_t heartbeatNumber_ { 0 };
    auto operator<=>(const OwnerRow&) const = default;
};

std::string ownerKey(const ProcessName&);
std::string encode(const OwnerRow&);
absl::StatusOr<OwnerRow> decodeOwnerRow(std::string_view);

// Reads the partition from the key of its row; nothing if the key is malformed.
std::optional<PartitionNumber> partitionOf(std::string_view key);
// Reads the process from the key of its heartbeat row; nothing if the key is malformed.
std::optional<ProcessName> processOf(std::string_view key);

} // namespace persimmondoor::leases
