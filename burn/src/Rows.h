// Encoding of an entry's counts as rows of the table service.
#pragma once

#include "persimmondoor/burn/Levels.h"
#include "persimmondoor/store/Table.h"

#include <string>

namespace persimmondoor::burn {

inline constexpr std::string_view rowPrefix = "burn/";

std::string rowPrefixOf(const ProcessName& entry);
std::string rowKey(const ProcessName& entry, Minute now);

// Encodes the counts of each minute of the half hour of `now`.
std::string encodeRow(const Levels&, Minute now);

// The decoded value of one row.
struct SavedRow {
    Minute savedAt_;
    std::vector<Restored> counts_;
    bool operator==(const SavedRow&) const = default;
};

// Returns an empty value for a malformed row, and skips malformed items.
SavedRow decodeRow(const store::Row&);

} // namespace persimmondoor::burn
