/// Pushes an accepted change to the agents through a tree: a process sends it to a few others, each with a share of the
/// addresses that are left. Keepalives grow rarer with the number of agents, so asking alone takes minutes.
///
/// \code
/// co_await spreadSubtrees(agents, subtrees);
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/settings/Tree.h"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace persimmondoor::settings {

/// Processes that one process sends a change to: four levels reach 6,300 agents, and a sender's share of an address list
/// of that size is 40 KB.
inline constexpr size_t pushesPerProcess = 16;

/// A part of the receivers: the first gets the change from the sender, the others from the first.
using PushBranch = std::vector<Address>;

/// Divides `receivers` into at most `pushesPerProcess` branches, none empty, that differ by at most one in length.
std::vector<PushBranch> branchesOf(const std::vector<Address>& receivers);

/// Pushes to all `receivers`. If the first of a branch does not answer, the next takes its place; whoever is missed asks
/// with its next keepalive.
boost::asio::awaitable<void> spreadSubtrees(std::vector<Address> receivers, std::vector<Subtree> subtrees);

} // namespace persimmondoor::settings
