// Encodes requests and answers as Cap'n Proto messages.
#pragma once

#include "Admission.capnp.h"
#include "persimmondoor/admission/Request.h"

#include <absl/status/statusor.h>

namespace persimmondoor::admission {

void encode(const ServiceRequest&, wire::Request::Builder);
// Returns InvalidArgument for an invalid id or name, and for a request without a method or a target.
absl::StatusOr<ServiceRequest> decode(wire::Request::Reader);

void encode(const ServiceAnswer&, wire::Answer::Builder);
ServiceAnswer decode(wire::Answer::Reader);

} // namespace persimmondoor::admission
