/// How a change is divided among the processes that pass it on: decisions only.
///
/// \code
/// for (const PushBranch& branch : branchesOf(agents))
///     send(branch.front(), change, rest(branch));
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"

#include <vector>

namespace persimmondoor::settings {

/// Processes that one process sends a change to: four levels reach 6,300 agents, and the addresses in a sender's share
/// take 8 KB at that size.
inline constexpr size_t pushesPerProcess = 16;

/// A part of the receivers: the first gets the change from the sender, the others from the first.
using PushBranch = std::vector<Address>;

/// Divides `receivers` into at most `pushesPerProcess` branches, none empty, that differ by at most one in length.
std::vector<PushBranch> branchesOf(const std::vector<Address>& receivers);

} // namespace persimmondoor::settings
