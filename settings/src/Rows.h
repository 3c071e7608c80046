// Subtrees as rows of the table service: `settings/<name>` holds the newest revision's head, and
// `settings-history/<name>/<revision>` the contents of each revision.
#pragma once

#include "persimmondoor/settings/Tree.h"
#include "persimmondoor/store/Table.h"

#include <absl/status/statusor.h>

namespace persimmondoor::settings {

inline constexpr std::string_view headPrefix = "settings/";

std::string headKey(const SubtreeName&);
// The prefix of all revisions of a subtree.
std::string historyPrefix(const SubtreeName&);
std::string historyKey(const SubtreeName&, Revision);

// The value of a head row: all but the contents.
std::string encodeHead(const Subtree&);
// The value of a history row.
std::string encodeRevision(const Subtree&);
// Reads either kind of row; the text of a head is empty.
// Returns DataLoss for a row that this program did not write.
absl::StatusOr<Subtree> decodeRow(const SubtreeName&, const store::Row&);

} // namespace persimmondoor::settings
