// Encodes announcements for Cap'n Proto.
#pragma once

#include "Membership.capnp.h"
#include "persimmondoor/membership/ViewActor.h"

namespace persimmondoor::membership {

void encode(const Announcement&, wire::Announcement::Builder);
// Returns InvalidArgument for a name or address that is not valid.
absl::StatusOr<Announcement> decode(wire::Announcement::Reader);

void encode(const ViewAnswer&, wire::Answer::Builder);
ViewAnswer decode(wire::Answer::Reader);

} // namespace persimmondoor::membership
