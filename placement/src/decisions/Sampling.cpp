#include "persimmondoor/placement/Sampling.h"

#include "Random.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace persimmondoor::placement {

static constexpr double fullShare = 255;

static size_t bandOf(int64_t milliCores)
{
    const auto& bounds = DomainDigest::bandMilliCores;
    return static_cast<size_t>(std::upper_bound(bounds.begin(), bounds.end(), milliCores) - bounds.begin());
}

// Rounds up, so that a band with a single worker is never rounded to zero.
static uint8_t toShare(size_t count, size_t whole)
{
    return static_cast<uint8_t>(std::ceil(fullShare * static_cast<double>(count) / static_cast<double>(whole)));
}

DomainDigest DomainDigest::create(const std::vector<Offer>& offers)
{
    DomainDigest digest;
    std::array<size_t, bandMilliCores.size() + 1> plain {};
    std::array<size_t, bandMilliCores.size() + 1> accelerated {};
    for (const Offer& offer : offers) {
        if (!offer.accepting_)
            continue;
        ++plain[bandOf(offer.free_.milliCores())];
        if (offer.free_.accelerators() > 0)
            ++accelerated[bandOf(offer.free_.milliCores())];
    }
    digest.known_ = !offers.empty();
    for (size_t band = 0; digest.known_ && band < plain.size(); ++band) {
        digest.plain_[band] = toShare(plain[band], offers.size());
        digest.accelerated_[band] = toShare(accelerated[band], offers.size());
    }
    return digest;
}

double DomainDigest::fittingShare(const Resources& resources) const
{
    if (!known_)
        return 1;
    const auto& shares = resources.accelerators() > 0 ? accelerated_ : plain_;
    size_t own = bandOf(resources.milliCores());
    // Within the band of the request itself, half of the workers are assumed to fit.
    double sum = shares[own] / 2.0;
    for (size_t band = own + 1; band < shares.size(); ++band)
        sum += shares[band];
    return std::clamp(sum, 1.0, fullShare) / fullShare;
}

// Returns the expected number of workers in each domain on which the task fits; zero for closed domains.
static std::vector<double> computeWeights(const PlacementRequest& request, const std::vector<DomainWorkers>& domains)
{
    std::vector<double> weights;
    weights.reserve(domains.size());
    for (const DomainWorkers& domain : domains) {
        bool open = !request.closedDomains_.contains(domain.domain_);
        weights.push_back(open ? static_cast<double>(domain.workers_.size()) * domain.digest_.fittingShare(request.resources_) : 0);
    }
    return weights;
}

uint32_t adaptSampleSize(const PlacementRequest& request, const std::vector<DomainWorkers>& domains)
{
    std::vector<double> weights = computeWeights(request, domains);
    // Probes go to domains in proportion to their weights, so the share of probes that reach a fitting worker is the
    // weighted mean.
    double total = 0;
    double fits = 0;
    for (size_t index = 0; index < domains.size(); ++index) {
        total += weights[index];
        fits += weights[index] * domains[index].digest_.fittingShare(request.resources_);
    }
    if (total <= 0 || fits <= 0)
        return minimumSampleSize;
    double size = std::clamp(std::ceil(wantedFits * total / fits), double { minimumSampleSize }, double { maximumSampleSize });
    return static_cast<uint32_t>(size);
}

// Picks up to `count` different workers that are not avoided.
static std::vector<WorkerName> pickWorkers(const DomainWorkers& domain, size_t count, const std::set<WorkerName>& avoided, Random& random)
{
    std::vector<size_t> order(domain.workers_.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::vector<WorkerName> picked;
    for (size_t next = 0; next < order.size() && picked.size() < count; ++next) {
        std::swap(order[next], order[next + random.below(order.size() - next)]);
        const WorkerName& worker = domain.workers_[order[next]];
        if (!avoided.contains(worker))
            picked.push_back(worker);
    }
    return picked;
}

// Distributes `size` probes in proportion to the weights, by systematic sampling.
static std::vector<size_t> distributeProbes(const std::vector<double>& weights, uint32_t size, Random& random)
{
    std::vector<size_t> probes(weights.size(), 0);
    double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (total <= 0 || size == 0)
        return probes;
    double step = total / size;
    double start = random.unit() * step;
    double sum = 0;
    uint32_t drawn = 0;
    for (size_t index = 0; index < weights.size(); ++index) {
        sum += weights[index];
        for (; drawn < size && start + drawn * step < sum; ++drawn)
            ++probes[index];
    }
    return probes;
}

// Assigns all probes to one domain, chosen at random in proportion to the weights.
static std::vector<size_t> concentrateProbes(const std::vector<double>& weights, uint32_t size, Random& random)
{
    std::vector<size_t> probes = distributeProbes(weights, 1, random);
    for (size_t& count : probes)
        count *= size;
    return probes;
}

static bool staysInOneDomain(const Constraint& constraint)
{
    const auto* gang = std::get_if<Gang>(&constraint);
    return gang && gang->within_ != GroupLevel::Cell;
}

SamplePlan planSample(const PlacementRequest& request, uint32_t size, const std::vector<DomainWorkers>& domains)
{
    Random random(hashOf(request.task_.value(), request.seed_));
    std::vector<double> weights = computeWeights(request, domains);
    std::vector<size_t> probes = staysInOneDomain(request.constraint_) ? concentrateProbes(weights, size, random) : distributeProbes(weights, size, random);
    std::vector<std::vector<WorkerName>> picks(domains.size());
    size_t missing = 0;
    for (size_t index = 0; index < domains.size(); ++index) {
        picks[index] = pickWorkers(domains[index], probes[index], request.avoidedWorkers_, random);
        missing += probes[index] - picks[index].size();
    }
    // Probes for which a domain has no eligible worker move to other domains. For a gang that stays in one domain, the
    // probes move only all together, when its domain has no eligible worker at all.
    bool staysTogether = staysInOneDomain(request.constraint_);
    bool mayRedistribute = !staysTogether || missing == size;
    for (size_t index = 0; mayRedistribute && index < domains.size() && missing > 0; ++index) {
        if (weights[index] <= 0)
            continue;
        std::vector<WorkerName> more = pickWorkers(domains[index], picks[index].size() + missing, request.avoidedWorkers_, random);
        missing -= more.size() - picks[index].size();
        picks[index] = std::move(more);
        mayRedistribute = !staysTogether || picks[index].empty();
    }
    SamplePlan plan;
    for (size_t index = 0; index < domains.size(); ++index) {
        if (!picks[index].empty())
            plan.push_back({ domains[index].domain_, std::move(picks[index]) });
    }
    return plan;
}

} // namespace persimmondoor::placement
