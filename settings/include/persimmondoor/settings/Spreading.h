/// Pushes an accepted change to the agents through a tree: a process sends it to a few others, each with a share of the
/// addresses that are left. Keepalives grow rarer with the number of agents, so asking alone takes minutes.
///
/// \code
/// co_await spreadSubtrees(agents, subtrees);
/// \endcode
#pragma once

#include "persimmondoor/settings/PushBranches.h"
#include "persimmondoor/settings/Tree.h"

#include <boost/asio/awaitable.hpp>

namespace persimmondoor::settings {

/// Pushes to all `receivers`. If the first of a branch does not answer, the next takes its place; whoever is missed asks
/// with its next keepalive.
boost::asio::awaitable<void> spreadSubtrees(std::vector<Address> receivers, std::vector<Subtree> subtrees);

} // namespace persimmondoor::settings
