#include "persimmondoor/routing/Chooser.h"

#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::routing {

// Load per slot at which this entry stops sending to an endpoint. The limit of paying requests is higher, so that trial
// requests are refused first.
static constexpr uint32_t payingLoadPerSlot = 5;
static constexpr uint32_t trialLoadPerSlot = 2;
// An answer has the weight 1 / `latencySmoothing` in the smoothed latency.
static constexpr int64_t latencySmoothing = 16;
// Random draws for each of the two choices. If the first choice finds no eligible candidate, all candidates are compared.
static constexpr int drawsPerChoice = 4;
// Halvings after which any latency has decayed to zero: a request takes at most ten minutes, less than 2^30 microseconds.
static constexpr int64_t maximumHalvings = 30;

uint32_t Candidate::knownLoad(Instant now) const
{
    bool isFresh = now - loadReceivedAt_ <= loadFreshness;
    return isFresh ? std::max(inFlight_, load_.running_ + load_.queued_) : inFlight_;
}

uint32_t Candidate::loadLimit(Tier tier) const
{
    return offer_.slots_ * (tier == Tier::Paying ? payingLoadPerSlot : trialLoadPerSlot);
}

static Duration decayed(Duration latency, Duration elapsed)
{
    int64_t halvings = std::clamp<int64_t>(elapsed / latencyHalfLife, 0, maximumHalvings);
    return Duration(latency.count() >> halvings);
}

Candidate Candidate::withLatency(Duration sample, Instant now) const
{
    Candidate next = *this;
    Duration decayedLatency = decayed(latency_, now - latencyUpdatedAt_);
    next.latency_ = decayedLatency == Duration(0) ? sample : decayedLatency + (sample - decayedLatency) / latencySmoothing;
    next.latencyUpdatedAt_ = now;
    return next;
}

static double loadPerSlot(const Candidate& candidate, Instant now)
{
    return static_cast<double>(candidate.knownLoad(now)) / std::max(1U, candidate.offer_.slots_);
}

static double expectedTime(const Candidate& candidate, Instant now)
{
    // An endpoint without answers counts as fast, so that it soon gets its first requests; its load limits how many it
    // gets at once.
    int64_t latency = std::max<int64_t>(1, decayed(candidate.latency_, now - candidate.latencyUpdatedAt_).count());
    return static_cast<double>(latency) * (1.0 + static_cast<double>(candidate.knownLoad(now))) / std::max(1U, candidate.offer_.slots_);
}

namespace {

    using Eligibility = std::function<bool(const Candidate&)>;

    template <typename Cost>
    Candidate* leastOf(std::vector<Candidate>& candidates, const Eligibility& isEligible, Cost cost)
    {
        Candidate* best = nullptr;
        for (Candidate& candidate : candidates) {
            if (isEligible(candidate) && (!best || cost(candidate) < cost(*best)))
                best = &candidate;
        }
        return best;
    }

    Candidate* draw(std::minstd_rand& random, std::vector<Candidate>& candidates, const Eligibility& isEligible, const Candidate* other)
    {
        std::uniform_int_distribution<size_t> any(0, candidates.size() - 1);
        for (int attempt = 0; attempt < drawsPerChoice; ++attempt) {
            Candidate* candidate = &candidates[any(random)];
            if (candidate != other && isEligible(*candidate))
                return candidate;
        }
        return nullptr;
    }

    template <typename Cost>
    Candidate* leastOfTwo(std::minstd_rand& random, std::vector<Candidate>& candidates, const Eligibility& isEligible, Cost cost)
    {
        Candidate* first = draw(random, candidates, isEligible, nullptr);
        if (!first)
            return leastOf(candidates, isEligible, cost);
        Candidate* second = draw(random, candidates, isEligible, first);
        return second && cost(*second) < cost(*first) ? second : first;
    }

    Candidate* nextInTurn(RoundRobin& chooser, std::vector<Candidate>& candidates, const Eligibility& isEligible)
    {
        for (size_t step = 0; step < candidates.size(); ++step) {
            Candidate* candidate = &candidates[chooser.next_++ % candidates.size()];
            if (isEligible(*candidate))
                return candidate;
        }
        return nullptr;
    }

} // namespace

Candidate* choose(Chooser& chooser, std::minstd_rand& random, std::vector<Candidate>& candidates, const Eligibility& isEligible, Instant now)
{
    if (candidates.empty())
        return nullptr;
    return std::visit(Visitor {
                          [&](RoundRobin& roundRobin) { return nextInTurn(roundRobin, candidates, isEligible); },
                          [&](LeastOfTwo&) { return leastOfTwo(random, candidates, isEligible, [now](const Candidate& candidate) { return loadPerSlot(candidate, now); }); },
                          [&](LeastExpectedTime&) { return leastOfTwo(random, candidates, isEligible, [now](const Candidate& candidate) { return expectedTime(candidate, now); }); },
                      },
        chooser);
}

} // namespace persimmondoor::routing
