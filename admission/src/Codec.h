// Encodes requests and answers for Cap'n Proto.
#pragma once

#include "Admission.capnp.h"
#include "persimmondoor/admission/Request.h"

#include <absl/status/statusor.h>

namespace persimmondoor::admission {

void encode(const ServiceRequest&, wire::Request::Builder);
// Returns InvalidArgument for a name that is not valid.
absl::StatusOr<ServiceRequest> decode(wire::Request::Reader);

void encode(const ServiceAnswer&, wire::Answer::Builder);
ServiceAnswer decode(wire::Answer::Reader);

} // namespace persimmondoor::admission
