#include "Ejection.h"

#include "persimmondoor/routing/Router.h"

#include <algorithm>

namespace persimmondoor::routing {

bool isInService(const Candidate& candidate, Instant now)
{
    if (candidate.isDraining_)
        return false;
    if (!candidate.ejectedUntil_)
        return true;
    return now >= *candidate.ejectedUntil_ && candidate.inFlight_ == 0;
}

Candidate withSuccess(const Candidate& candidate)
{
    Candidate next = candidate;
    next.failures_ = 0;
    next.ejections_ = 0;
    next.ejectedUntil_.reset();
    return next;
}

static bool mayEject(const std::vector<Candidate>& all)
{
    size_t ejected = static_cast<size_t>(std::count_if(all.begin(), all.end(), [](const Candidate& candidate) { return candidate.ejectedUntil_.has_value(); }));
    return ejected + 1 <= all.size() / ejectedShareDivisor;
}

static Duration ejectionTime(uint32_t ejections)
{
    Duration time = firstEjection;
    for (uint32_t count = 0; count < ejections && time < maximumEjection; ++count)
        time *= 2;
    return std::min(time, maximumEjection);
}

void countFailure(Candidate& candidate, const std::vector<Candidate>& all, Instant now)
{
    ++candidate.failures_;
    bool isEjected = candidate.ejectedUntil_.has_value();
    if (!isEjected && (candidate.failures_ < failuresToEject || !mayEject(all)))
        return;
    if (isEjected && now < *candidate.ejectedUntil_)
        return;
    candidate.ejectedUntil_ = now + ejectionTime(candidate.ejections_++);
}

} // namespace persimmondoor::routing
