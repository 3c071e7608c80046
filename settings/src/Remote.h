// Client side of the RPC interface "settings".
#pragma once

#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/settings/Tree.h"

namespace persimmondoor::settings {

// Fetches the subtrees that are newer in the peer's tree than in `tree`.
// Returns Unavailable or DeadlineExceeded if the peer does not answer, FailedPrecondition if it has no settings yet, or
// InvalidArgument if its answer is malformed.
boost::asio::awaitable<absl::StatusOr<std::vector<Subtree>>> fetchNewer(rpc::Link, Tree tree);

// Sends accepted subtrees to the peer, which forwards them to the processes at `passOnTo`.
boost::asio::awaitable<absl::StatusOr<bool>> push(rpc::Link, std::vector<Subtree>, std::vector<Address> passOnTo);

} // namespace persimmondoor::settings
