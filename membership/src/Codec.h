// Encodes announcements for Cap'n Proto.
#pragma once

#include "Membership.capnp.h"
#include "persimmondoor/membership/ViewActor.h"

namespace persimmondoor::membership {

void encode(const Announcement&, wire::Announcement::Builder);
// Returns InvalidArgument for a name or address that is not valid.
absl::StatusOr<Announcement> decode(wire::Announcement::Reader);

// The agent's address is not sent.
void encode(const ViewAnswer&, wire::Answer::Builder);
// A hint that is not understood reads as "up to date".
ViewAnswer decode(wire::Answer::Reader);

} // namespace persimmondoor::membership
