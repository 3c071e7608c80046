// Encodes subtrees as rows of the table service. The row `settings/<name>` holds the head of the newest revision: all but
// the contents. The row `settings-history/<name>/<revision>` holds a revision with its contents.
#pragma once

#include "persimmondoor/settings/Tree.h"
#include "persimmondoor/store/Table.h"

#include <absl/status/statusor.h>

namespace persimmondoor::settings {

inline constexpr std::string_view headPrefix = "settings/";

std::string headKey(const SubtreeName&);
// The key prefix of all revisions of a subtree.
std::string historyPrefix(const SubtreeName&);
std::string historyKey(const SubtreeName&, Revision);

// The value of a head row.
std::string encodeHead(const Subtree&);
// The value of a history row.
std::string encodeRevision(const Subtree&);
// Decodes a row of either kind; the text of a head is empty.
// Returns DataLoss for a row that is not in this format.
absl::StatusOr<Subtree> decodeRow(const SubtreeName&, const store::Row&);

} // namespace persimmondoor::settings
