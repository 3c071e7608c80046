#include "persimmondoor/placement/Sampling.h"
#include "Fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::placement;

namespace {

DomainWorkers domain(const std::string& name, size_t workers, const DomainDigest& digest = DomainDigest::unknown())
{
    DomainWorkers result { FailureDomainName::of(name), {}, digest };
    for (size_t index = 0; index < workers; ++index)
        result.workers_.push_back(WorkerName::of(name + "-" + std::to_string(index)));
    return result;
}

DomainDigest digestOf(int fullWorkers, int freeWorkers)
{
    std::vector<Offer> offers;
    offers.reserve(static_cast<size_t>(fullWorkers) + static_cast<size_t>(freeWorkers));
    for (int index = 0; index < fullWorkers; ++index)
        offers.push_back(offer("f" + std::to_string(index), "a", resources(0, 0), resources(64, 256)));
    for (int index = 0; index < freeWorkers; ++index)
        offers.push_back(offer("w" + std::to_string(index), "a", resources(64, 256), resources(64, 256)));
    return DomainDigest::create(offers);
}

size_t probesIn(const SamplePlan& plan, const std::string& name)
{
    for (const DomainSample& sample : plan) {
        if (sample.domain_.value() == name)
            return sample.workers_.size();
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sampling)

BOOST_AUTO_TEST_CASE(probes_go_to_domains_with_fitting_workers)
{
    std::vector<DomainWorkers> domains { domain("full", 100, digestOf(100, 0)), domain("half", 100, digestOf(50, 50)), domain("free", 100, digestOf(0, 100)) };
    size_t full = 0;
    size_t half = 0;
    size_t free = 0;
    for (uint64_t seed = 0; seed < 100; ++seed) {
        PlacementRequest wanted = request("t", resources(4, 4));
        wanted.seed_ = seed;
        SamplePlan plan = planSample(wanted, defaultSampleSize, domains);
        full += probesIn(plan, "full");
        half += probesIn(plan, "half");
        free += probesIn(plan, "free");
    }
    BOOST_TEST(full + half + free == 100 * defaultSampleSize);
    BOOST_TEST(free > half);
    BOOST_TEST(half > 10 * full);
}

BOOST_AUTO_TEST_CASE(sample_grows_as_fitting_workers_become_rare)
{
    PlacementRequest wanted = request("t", resources(4, 4));
    BOOST_TEST(adaptSampleSize(wanted, { domain("a", 100, digestOf(0, 100)) }) == minimumSampleSize);
    BOOST_TEST(adaptSampleSize(wanted, { domain("a", 100, digestOf(75, 25)) }) >= 4 * minimumSampleSize - 1);
    BOOST_TEST(adaptSampleSize(wanted, { domain("a", 100, digestOf(100, 0)) }) == maximumSampleSize);
    BOOST_TEST(adaptSampleSize(wanted, {}) == minimumSampleSize);
}

BOOST_AUTO_TEST_CASE(gang_within_a_domain_probes_one_domain)
{
    PlacementRequest wanted = request("t", resources(4, 4));
    wanted.constraint_ = Gang { GroupLevel::Rack };
    SamplePlan plan = planSample(wanted, 8, { domain("a", 20), domain("b", 20) });
    BOOST_REQUIRE(plan.size() == 1U);
    BOOST_TEST(plan[0].workers_.size() == 8U);
}

BOOST_AUTO_TEST_CASE(probes_of_a_domain_with_only_avoided_workers_go_elsewhere)
{
    PlacementRequest wanted = request("t", resources(4, 4));
    wanted.avoidedWorkers_ = { WorkerName::of("a-0") };
    for (uint64_t seed = 0; seed < 20; ++seed) {
        wanted.seed_ = seed;
        BOOST_TEST(probesIn(planSample(wanted, 1, { domain("a", 1), domain("b", 1) }), "b") == 1U);
    }
}

BOOST_AUTO_TEST_CASE(sample_is_bounded_distinct_open_and_repeatable)
{
    bool holds = rc::check("sample is bounded, distinct, open and repeatable", [] {
        std::vector<DomainWorkers> domains;
        size_t open = 0;
        int count = *rc::gen::inRange(0, 6);
        for (int index = 0; index < count; ++index) {
            DomainDigest digest = *rc::gen::arbitrary<bool>() ? DomainDigest::unknown() : digestOf(*rc::gen::inRange(0, 5), *rc::gen::inRange(0, 5));
            domains.push_back(domain("d" + std::to_string(index), *rc::gen::inRange<size_t>(0, 30), digest));
            open += index == 1 ? 0 : domains.back().workers_.size();
        }
        PlacementRequest wanted = request("t", *anyResources(64, 256, 1));
        wanted.seed_ = *rc::gen::arbitrary<uint64_t>();
        wanted.closedDomains_.insert(FailureDomainName::of("d1"));
        wanted.avoidedWorkers_.insert(WorkerName::of("d0-0"));
        auto size = *rc::gen::inRange<uint32_t>(0, 20);
        SamplePlan plan = planSample(wanted, size, domains);
        RC_ASSERT(plan == planSample(wanted, size, domains));
        std::set<WorkerName> seen;
        size_t total = 0;
        for (const DomainSample& sample : plan) {
            RC_ASSERT(sample.domain_.value() != "d1");
            seen.insert(sample.workers_.begin(), sample.workers_.end());
            total += sample.workers_.size();
        }
        RC_ASSERT(total <= size);
        RC_ASSERT(seen.size() == total);
        RC_ASSERT(!seen.contains(WorkerName::of("d0-0")));
        RC_ASSERT(total > 0 || open <= 1 || size == 0);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
