// Encodes the messages between owners and agents for Cap'n Proto. Decoding returns InvalidArgument for an invalid name
// or amount and for an unknown enumerator or union member.
#pragma once

#include "Hosting.capnp.h"
#include "persimmondoor/hosting/Host.h"

#include <absl/status/statusor.h>

namespace persimmondoor::hosting {

void encode(const ProbeOrder&, wire::Probe::Builder);
absl::StatusOr<ProbeOrder> decode(wire::Probe::Reader);

void encode(const HostOffer&, wire::Offer::Builder);
absl::StatusOr<HostOffer> decode(wire::Offer::Reader);

void encode(const StartOrder&, wire::Start::Builder);
absl::StatusOr<StartOrder> decode(wire::Start::Reader);

void encode(const StartOutcome&, wire::StartAnswer::Builder);
absl::StatusOr<StartOutcome> decode(wire::StartAnswer::Reader);

void encode(const StopOrder&, wire::Stop::Builder);
absl::StatusOr<StopOrder> decode(wire::Stop::Reader);

wire::StopAnswer encode(const StopOutcome&);
absl::StatusOr<StopOutcome> decode(wire::StopAnswer);

void encode(const Renewal&, wire::Renewal::Builder);
absl::StatusOr<Renewal> decode(wire::Renewal::Reader);

void encode(const RenewalOutcome&, wire::RenewalAnswer::Builder);
absl::StatusOr<RenewalOutcome> decode(wire::RenewalAnswer::Reader);

} // namespace persimmondoor::hosting
