// Encodes announcements for Cap'n Proto.
#pragma once

#include "Membership.capnp.h"
#include "persimmondoor/membership/Announcement.h"
#include "persimmondoor/settings/Distribution.h"

namespace persimmondoor::membership {

void encode(const Announcement&, wire::Announcement::Builder);
// Returns InvalidArgument for a name or address that is not valid.
absl::StatusOr<Announcement> decode(wire::Announcement::Reader);

void encode(const settings::Hint&, wire::AnnounceAnswer::Builder);
// An answer that is not understood reads as "up to date".
settings::Hint decodeHint(wire::AnnounceAnswer::Reader);

} // namespace persimmondoor::membership
