/// Plans which agents to probe for a task: a bounded random sample, weighted by a small digest of each failure domain.
///
/// \code
/// SamplePlan plan = planSample(request, defaultSampleSize, domains);
/// \endcode
#pragma once

#include "persimmondoor/placement/Offer.h"

#include <array>

namespace persimmondoor::placement {

/// Default number of agents probed for one task.
inline constexpr uint32_t defaultSampleSize = 12;

/// Histogram of a domain's workers by free processors. Each band holds a share of the workers in units of 1/255, so
/// that the digest takes 20 bytes on the wire.
class DomainDigest {
public:
    /// Upper bounds of the bands, in thousandths of a core; the last band is unbounded.
    static constexpr std::array<int64_t, 7> bandMilliCores { 500, 1'000, 2'000, 4'000, 8'000, 16'000, 32'000 };

    /// Summarises the offers of one domain.
    static DomainDigest create(const std::vector<Offer>& offers);
    /// Returns the digest of a domain without information, in which every worker counts as one that may fit.
    static DomainDigest unknown() { return {}; }

    /// Estimates the share of the domain's workers on which `resources` fit, at least 1/255.
    double fittingShare(const Resources& resources) const;
    bool operator==(const DomainDigest&) const = default;

private:
    /// All accepting workers, with and without accelerators.
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

/// Number of probed workers on which the task should fit, on average.
inline constexpr double wantedFits = 4;
/// Bounds of `adaptSampleSize`.
inline constexpr uint32_t minimumSampleSize = 4;
inline constexpr uint32_t maximumSampleSize = 48;

/// Computes the size of a sample in which the task is expected to fit on `wantedFits` workers, by the digests of the domains
/// that are not closed. Tasks that fit on few workers get larger samples.
/// \return between `minimumSampleSize` and `maximumSampleSize`.
uint32_t adaptSampleSize(const PlacementRequest& request, const std::vector<DomainWorkers>& domains);

using SamplePlan = std::vector<DomainSample>;

/// Chooses at most `size` workers, none of them avoided or in a closed domain. The expected number of probes in a
/// domain is proportional to the number of its workers that probably fit (systematic sampling with a random start,
/// Madow 1949); within a domain each worker is equally likely. For a gang within a worker, a rack or a domain, all
/// probes go to one domain.
/// \return at most one sample per domain; the same request, size and domains give the same plan.
SamplePlan planSample(const PlacementRequest& request, uint32_t size, const std::vector<DomainWorkers>& domains);

} // namespace persimmondoor::placement
