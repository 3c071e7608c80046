#include "persimmondoor/soak/FaultPlan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace persimmondoor::soak {

static constexpr Duration trouble = std::chrono::seconds(12);

BOOST_AUTO_TEST_SUITE(fault_plan)

BOOST_AUTO_TEST_CASE(seed_fixes_the_plan)
{
    BOOST_TEST((makeFaultPlan(7, Fleet {}, trouble) == makeFaultPlan(7, Fleet {}, trouble)));
    BOOST_TEST((makeFaultPlan(7, Fleet {}, trouble) != makeFaultPlan(8, Fleet {}, trouble)));
}

BOOST_AUTO_TEST_CASE(faults_are_in_order_and_begin_within_the_trouble)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        FaultPlan plan = makeFaultPlan(seed, Fleet {}, trouble);
        BOOST_TEST(!plan.empty());
        BOOST_TEST(std::is_sorted(plan.begin(), plan.end()));
        for (const PlannedFault& planned : plan) {
            BOOST_TEST((planned.at_ >= Duration(0) && planned.at_ <= trouble));
            BOOST_TEST(!describe(planned.fault_).empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(fifty_seeds_contain_each_kind_of_fault)
{
    std::set<size_t> kinds;
    std::set<LinkFault> links;
    std::set<StoreFault> stores;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        for (const PlannedFault& planned : makeFaultPlan(seed, Fleet {}, trouble)) {
            kinds.insert(planned.fault_.index());
            if (const auto* link = std::get_if<BreakStoreLink>(&planned.fault_))
                links.insert(link->fault_);
            if (const auto* store = std::get_if<BreakStore>(&planned.fault_))
                stores.insert(store->fault_);
        }
    }
    BOOST_TEST(kinds.size() == std::variant_size_v<Fault>);
    BOOST_TEST(links.size() == 5U);
    BOOST_TEST(stores.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::soak
