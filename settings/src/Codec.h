// Encodes and decodes subtrees for Cap'n Proto.
#pragma once

#include "Settings.capnp.h"
#include "persimmondoor/settings/Tree.h"

#include <absl/status/statusor.h>

namespace persimmondoor::settings {

void encode(const Subtree&, wire::Subtree::Builder);
// Returns InvalidArgument if a name is invalid, the revision is 0, or the contents fail checkSubtree.
absl::StatusOr<Subtree> decode(wire::Subtree::Reader);

void encode(const std::vector<Subtree>&, capnp::List<wire::Subtree>::Builder);
// Returns the error of the first invalid subtree, or InvalidArgument for a list that is too long.
absl::StatusOr<std::vector<Subtree>> decode(capnp::List<wire::Subtree>::Reader);

// Skips items with an invalid name. Returns an empty map for a list that is too long.
std::map<SubtreeName, Revision> decode(capnp::List<wire::KnownRevision>::Reader);

} // namespace persimmondoor::settings
