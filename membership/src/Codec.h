// Encodes announcements for Cap'n Proto.
#pragma once

#include "Membership.capnp.h"
#include "persimmondoor/membership/Announcement.h"

namespace persimmondoor::membership {

void encode(const Announcement&, wire::Announcement::Builder);
// Returns InvalidArgument for a name or address that is not valid.
absl::StatusOr<Announcement> decode(wire::Announcement::Reader);

} // namespace persimmondoor::membership
