// Encodes subtrees for Cap'n Proto.
#pragma once

#include "Settings.capnp.h"
#include "persimmondoor/settings/Tree.h"

#include <absl/status/statusor.h>

namespace persimmondoor::settings {

void encode(const Subtree&, wire::Subtree::Builder);
// Returns InvalidArgument for a name that is not valid, revision 0, or contents that are refused.
absl::StatusOr<Subtree> decode(wire::Subtree::Reader);

void encode(const std::vector<Subtree>&, capnp::List<wire::Subtree>::Builder);
// Returns the fault of the first subtree that has one.
absl::StatusOr<std::vector<Subtree>> decode(capnp::List<wire::Subtree>::Reader);

// Leaves out what has no valid name, and all of a list that is too long.
std::map<SubtreeName, Revision> decode(capnp::List<wire::KnownRevision>::Reader);

} // namespace persimmondoor::settings
