// Saved counts as rows of the table service.
#pragma once

#include "persimmondoor/burn/Levels.h"
#include "persimmondoor/store/Table.h"

#include <string>

namespace persimmondoor::burn {

inline constexpr std::string_view rowPrefix = "burn/";

std::string rowPrefixOf(const ProcessName& entry);
std::string rowKey(const ProcessName& entry, Minute now);

// The minutes of the half hour of `now`.
std::string encodeRow(const Levels&, Minute now);

// What one row holds.
struct SavedRow {
    Minute savedAt_;
    std::vector<Restored> counts_;
    bool operator==(const SavedRow&) const = default;
};

// A row that is not understood reads as empty.
SavedRow decodeRow(const store::Row&);

} // namespace persimmondoor::burn
