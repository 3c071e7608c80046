// Outlier ejection: an endpoint that fails repeatedly gets no requests for a time. Only a bounded share of a service's
// endpoints is ejected at once.
#pragma once

#include "persimmondoor/routing/Chooser.h"

namespace persimmondoor::routing {

// True if the endpoint may get a request: it does not drain, and it is not ejected or is due for a probe, as the time of
// its ejection is over and no request is in flight there.
bool isInService(const Candidate&, Instant now);

// Returns the candidate after a success: without failures and no longer ejected.
Candidate withSuccess(const Candidate&);

// Counts a failure of `candidate`, one of `all`. Ejects the candidate after `failuresToEject` failures if the share of
// ejected endpoints allows it, or again if a probe failed.
void countFailure(Candidate& candidate, const std::vector<Candidate>& all, Instant now);

} // namespace persimmondoor::routing
