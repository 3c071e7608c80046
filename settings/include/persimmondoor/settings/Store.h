/// Reads and writes the settings in the platform's table service.
///
/// \code
/// absl::StatusOr<std::vector<Subtree>> newer = co_await loadNewer(table, tree);
/// WriteOutcome outcome = co_await writeSubtree(table, request);
/// \endcode
#pragma once

#include "persimmondoor/settings/Team.h"
#include "persimmondoor/settings/Write.h"
#include "persimmondoor/store/TableClient.h"

namespace persimmondoor::settings {

/// Revisions of each subtree that the store retains; older ones are erased.
inline constexpr uint64_t keptRevisions = 1'000;

/// Reads the subtrees that are newer in the store than in `tree`, with one scan of the heads and, if any is newer, one
/// read of the contents.
/// \return the subtrees, or Unavailable, DeadlineExceeded or DataLoss.
boost::asio::awaitable<absl::StatusOr<std::vector<Subtree>>> loadNewer(store::TableClient, Tree tree);

/// Makes a change by compare-and-set on the row of the subtree's head. After a lost reply it reads the store to find out
/// whether the change was made. The write is refused as a conflict if the operators subtree changes concurrently, because
/// the operator's permission was checked against the old one.
boost::asio::awaitable<WriteOutcome> writeSubtree(store::TableClient, WriteRequest);

/// Reads one revision with its contents.
/// \return the revision, or NotFound, Unavailable, DeadlineExceeded or DataLoss.
boost::asio::awaitable<absl::StatusOr<Subtree>> loadRevision(store::TableClient, SubtreeName, Revision);

/// Reads the newest revisions of a subtree, oldest first, at most `limit`.
/// \return the revisions, or Unavailable, DeadlineExceeded or DataLoss.
boost::asio::awaitable<absl::StatusOr<std::vector<Subtree>>> loadHistory(store::TableClient, SubtreeName, Revision newest, size_t limit);

/// Writes the first revision of a subtree if the store has none.
/// \return OK if the store has a revision afterwards, Unavailable if the store did not confirm that.
boost::asio::awaitable<absl::Status> seedSubtree(store::TableClient, SubtreeName, std::string text);

} // namespace persimmondoor::settings
