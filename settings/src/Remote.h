// Calls of the interface "settings" of another process.
#pragma once

#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/settings/Tree.h"

namespace persimmondoor::settings {

// What the peer's tree has newer than `tree`.
// Returns Unavailable or DeadlineExceeded without an answer, FailedPrecondition if the peer knows no settings, or
// InvalidArgument for an answer that is refused.
boost::asio::awaitable<absl::StatusOr<std::vector<Subtree>>> fetchNewer(rpc::Link, Tree tree);

// Sends accepted subtrees to the peer, which passes them on to the processes at `passOnTo`.
boost::asio::awaitable<absl::StatusOr<bool>> push(rpc::Link, std::vector<Subtree>, std::vector<Address> passOnTo);

} // namespace persimmondoor::settings
