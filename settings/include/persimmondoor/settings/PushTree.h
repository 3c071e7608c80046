/// Pushes an accepted change to the agents through a tree: a process sends it to a few others, each with a share of the
/// remaining addresses to forward it to. Polling alone would take minutes, because the interval between an agent's
/// keepalives grows with the number of agents.
///
/// \code
/// co_await pushSubtrees(agents, subtrees);
/// \endcode
#pragma once

#include "persimmondoor/settings/PushBranches.h"
#include "persimmondoor/settings/Tree.h"

#include <boost/asio/awaitable.hpp>

namespace persimmondoor::settings {

/// Pushes to all `receivers`. If the first of a branch does not answer, the next takes its place. A process that is
/// missed fetches the change after its next keepalive. Returns once the pushes are started, without waiting for the
/// answers.
boost::asio::awaitable<void> pushSubtrees(std::vector<Address> receivers, std::vector<Subtree> subtrees);

} // namespace persimmondoor::settings
