/// Plans which agents to probe for a task: a bounded random sample, aimed by a small digest of each failure domain.
///
/// \code
/// SamplePlan plan = planSample(request, defaultSampleSize, domains);
/// \endcode
#pragma once

#include "persimmondoor/placement/Offer.h"

#include <array>

namespace persimmondoor::placement {

/// Agents probed for one task, where nothing else is asked.
inline constexpr uint32_t defaultSampleSize = 12;

/// Counts of a domain's workers by their free processors, as shares in 1/255: 20 bytes on the wire.
class DomainDigest {
public:
    /// Upper bounds of the bands, in thousandths of a core; the last band has none.
    static constexpr std::array<int64_t, 7> bandMilliCores { 500, 1'000, 2'000, 4'000, 8'000, 16'000, 32'000 };

    /// Summarises the offers of one domain.
    static DomainDigest create(const std::vector<Offer>& offers);
    /// A digest of which nothing is known; every worker may fit.
    static DomainDigest unknown() { return {}; }

    /// Estimated share of the domain's workers at which `resources` fit, at least 1/255.
    double fittingShare(const Resources& resources) const;
    bool operator==(const DomainDigest&) const = default;

private:
    std::array<uint8_t, bandMilliCores.size() + 1> plain_ {};
    /// Workers with a free accelerator.
    std::array<uint8_t, bandMilliCores.size() + 1> accelerated_ {};
    bool known_ { false };
};

/// The workers of one failure domain, from membership.
struct DomainWorkers {
    FailureDomainName domain_;
    std::vector<WorkerName> workers_;
    DomainDigest digest_;
    bool operator==(const DomainWorkers&) const = default;
};

struct DomainSample {
    FailureDomainName domain_;
    std::vector<WorkerName> workers_;
    auto operator<=>(const DomainSample&) const = default;
};

/// Probes that should find room, on average.
inline constexpr double wantedFits = 4;
/// Bounds of an adapted sample.
inline constexpr uint32_t minimumSampleSize = 4;
inline constexpr uint32_t maximumSampleSize = 48;

/// Size of a sample in which `wantedFits` workers are expected to have room, by the digests of the open domains: small
/// tasks get small samples, large ones large samples.
/// \return between `minimumSampleSize` and `maximumSampleSize`.
uint32_t adaptSampleSize(const PlacementRequest& request, const std::vector<DomainWorkers>& domains);

using SamplePlan = std::vector<DomainSample>;

/// Chooses at most `size` workers, without closed domains and avoided workers. A domain's expected number of probes is
/// proportional to its workers that probably fit (systematic sampling with a random start, Madow 1949); within a domain
/// each worker is equally likely. For a gang within a worker, a rack or a domain, all probes go to one domain.
/// \return samples of different domains; the same request and domains give the same plan.
SamplePlan planSample(const PlacementRequest& request, uint32_t size, const std::vector<DomainWorkers>& domains);

} // namespace persimmondoor::placement
