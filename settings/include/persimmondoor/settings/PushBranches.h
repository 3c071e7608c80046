/// Divides the receivers of a change into the branches of a push tree. Decisions only.
///
/// \code
/// for (const PushBranch& branch : branchesOf(agents))
///     send(branch.front(), change, rest(branch));
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"

#include <vector>

namespace persimmondoor::settings {

/// Fan-out of the push tree: receivers that one process sends a change to. With 16, four levels reach 6,300 agents, and
/// the addresses in one message take 8 KB at that size.
inline constexpr size_t pushesPerProcess = 16;

/// A part of the receivers: the sender pushes to the first, which forwards the change to the others.
using PushBranch = std::vector<Address>;

/// Divides `receivers` into at most `pushesPerProcess` branches. None is empty, and their lengths differ by at most one.
std::vector<PushBranch> branchesOf(const std::vector<Address>& receivers);

} // namespace persimmondoor::settings
