// Takes endpoints that fail again and again out for a time, never more than a share of a service's endpoints.
#pragma once

#include "persimmondoor/routing/Chooser.h"

namespace persimmondoor::routing {

// True if the endpoint may get a request as far as its failures go.
bool isInService(const Candidate&, Instant now);

// The candidate after a success.
Candidate withSuccess(const Candidate&);

// Counts a failure of `candidate`, one of `all`, and takes it out if it failed often and the share allows it.
void countFailure(Candidate& candidate, const std::vector<Candidate>& all, Instant now);

} // namespace persimmondoor::routing
