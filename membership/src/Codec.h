// Encodes announcements and their answers as Cap'n Proto messages.
#pragma once

#include "Membership.capnp.h"
#include "persimmondoor/membership/ViewActor.h"

namespace persimmondoor::membership {

void encode(const Announcement&, wire::Announcement::Builder);
// Returns InvalidArgument for an invalid name or address, and for too many endpoints.
absl::StatusOr<Announcement> decode(wire::Announcement::Reader);

// Omits the agent's address.
void encode(const ViewAnswer&, wire::Answer::Builder);
// An invalid or unknown hint is decoded as "up to date".
ViewAnswer decode(wire::Answer::Reader);

} // namespace persimmondoor::membership
