#include "Fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::placement;

namespace {

std::string workerOf(const PlacementChoice& choice)
{
    const auto* placed = std::get_if<Placed>(&choice);
    return placed ? placed->site_.worker_.value() : "";
}

WaitReason reasonOf(const PlacementChoice& choice)
{
    BOOST_REQUIRE(std::holds_alternative<NotPlaced>(choice));
    return std::get<NotPlaced>(choice).reason_;
}

PlacementUnit anyUnit(int unit)
{
    Constraint constraint = anyConstraint();
    Priority priority = anyPriority();
    PlacementUnit requests;
    int tasks = *rc::gen::inRange(1, 4);
    for (int index = 0; index < tasks; ++index) {
        requests.push_back(request("t" + std::to_string(unit) + "-" + std::to_string(index), *anyResources(10, 40, 2), priority));
        requests.back().constraint_ = constraint;
        if (*rc::gen::inRange(0, 4) == 0)
            requests.back().closedDomains_.insert(FailureDomainName::of("d1"));
    }
    return requests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(choice)

BOOST_AUTO_TEST_CASE(best_fit_is_chosen)
{
    std::vector<Offer> offers { offer("roomy", "a", resources(32, 128), resources(64, 256)), offer("tight", "a", resources(9, 40), resources(64, 256)) };
    BOOST_TEST(workerOf(choosePlacement(request("t", resources(8, 32)), offers)) == "tight");
}

BOOST_AUTO_TEST_CASE(accelerators_are_kept_for_tasks_that_need_them)
{
    std::vector<Offer> offers { offer("accelerated", "a", resources(9, 40, 1), resources(64, 256, 1)), offer("plain", "a", resources(60, 250), resources(64, 256)) };
    BOOST_TEST(workerOf(choosePlacement(request("t", resources(8, 32)), offers)) == "plain");
    BOOST_TEST(workerOf(choosePlacement(request("t", resources(8, 32, 1)), offers)) == "accelerated");
    offers.pop_back();
    BOOST_TEST(workerOf(choosePlacement(request("t", resources(8, 32)), offers)) == "accelerated");
}

BOOST_AUTO_TEST_CASE(worker_with_higher_pressure_is_chosen_last)
{
    std::vector<Offer> offers { offer("pressed", "a", resources(9, 40), resources(64, 256)), offer("calm", "a", resources(60, 250), resources(64, 256)) };
    offers[0].pressure_ = 0.5;
    BOOST_TEST(workerOf(choosePlacement(request("t", resources(8, 32)), offers)) == "calm");
}

BOOST_AUTO_TEST_CASE(closed_domain_and_avoided_worker_are_not_chosen)
{
    std::vector<Offer> offers { offer("w1", "a", resources(9, 40), resources(64, 256)), offer("w2", "b", resources(9, 40), resources(64, 256)) };
    PlacementRequest wanted = request("t", resources(8, 32));
    wanted.closedDomains_.insert(FailureDomainName::of("a"));
    BOOST_TEST(workerOf(choosePlacement(wanted, offers)) == "w2");
    wanted.avoidedWorkers_.insert(WorkerName::of("w2"));
    PlacementChoice none = choosePlacement(wanted, offers);
    BOOST_TEST(std::get<NotPlaced>(none).detail_ == "1 x failure domain out of service, 1 x worker in quarantine or failed this task");
}

BOOST_AUTO_TEST_CASE(every_shortage_has_its_reason)
{
    std::vector<Offer> offers { offer("w", "a", resources(4, 16), resources(64, 256)) };
    BOOST_TEST((reasonOf(choosePlacement(request("t", resources(1, 1)), {})) == WaitReason::NoOffers));
    BOOST_TEST((reasonOf(choosePlacement(request("t", resources(5, 1)), offers)) == WaitReason::Processors));
    BOOST_TEST((reasonOf(choosePlacement(request("t", resources(1, 17)), offers)) == WaitReason::Memory));
    BOOST_TEST((reasonOf(choosePlacement(request("t", resources(1, 1, 1)), offers)) == WaitReason::Accelerators));
    offers[0].accepting_ = false;
    BOOST_TEST((reasonOf(choosePlacement(request("t", resources(1, 1)), offers)) == WaitReason::NotAccepting));
}

BOOST_AUTO_TEST_CASE(spread_counts_siblings)
{
    std::vector<Offer> offers { offer("w1", "a", resources(9, 40), resources(64, 256)), offer("w2", "b", resources(60, 250), resources(64, 256)) };
    PlacementRequest wanted = request("t", resources(8, 32));
    wanted.constraint_ = Spread { GroupLevel::Domain, 1 };
    wanted.siblings_ = { { WorkerName::of("w0"), RackName::of("r"), FailureDomainName::of("a") } };
    BOOST_TEST(workerOf(choosePlacement(wanted, offers)) == "w2");
    wanted.siblings_.push_back({ WorkerName::of("w2"), RackName::of("r"), FailureDomainName::of("b") });
    BOOST_TEST((reasonOf(choosePlacement(wanted, offers)) == WaitReason::SpreadLimit));
}

BOOST_AUTO_TEST_CASE(gang_stays_in_one_group_or_waits)
{
    std::vector<Offer> offers { offer("w1", "a", resources(8, 32), resources(8, 32)), offer("w2", "b", resources(8, 32), resources(8, 32)),
        offer("w3", "b", resources(8, 32), resources(8, 32)) };
    std::vector<PlacementRequest> gang { request("t1", resources(8, 32)), request("t2", resources(8, 32)) };
    for (PlacementRequest& each : gang)
        each.constraint_ = Gang { GroupLevel::Domain };
    for (const PlacementChoice& choice : chooseGang(gang, offers))
        BOOST_TEST(std::get<Placed>(choice).site_.domain_.value() == "b");
    offers.pop_back();
    for (const PlacementChoice& choice : chooseGang(gang, offers)) {
        BOOST_TEST((reasonOf(choice) == WaitReason::GangIncomplete));
        BOOST_TEST(std::get<NotPlaced>(choice).detail_ == "at most 1 of 2 tasks fit in one failure domain");
    }
}

BOOST_AUTO_TEST_CASE(queue_places_paying_and_urgent_first)
{
    std::vector<Offer> offers { offer("w", "a", resources(8, 32), resources(8, 32)) };
    QuotaLedger quotas = QuotaLedger::create({ { TeamName::of("team"), resources(100, 400) } });
    std::vector<PlacementUnit> units { { request("trial", resources(8, 32), { Tier::Trial, Urgency::Urgent }) }, { request("paying", resources(8, 32)) },
        { request("urgent", resources(8, 32), { Tier::Paying, Urgency::Urgent }) } };
    QueuePlacement result = placeQueue(units, offers, quotas);
    BOOST_REQUIRE(result.choices_.size() == 3U);
    BOOST_TEST((std::get<Placed>(result.choices_[0]).task_ == TaskId::of("urgent")));
    BOOST_TEST((std::get<NotPlaced>(result.choices_[1]).task_ == TaskId::of("paying")));
    BOOST_TEST((std::get<NotPlaced>(result.choices_[2]).task_ == TaskId::of("trial")));
}

BOOST_AUTO_TEST_CASE(queue_names_the_exceeded_quota)
{
    std::vector<Offer> offers { offer("w", "a", resources(8, 32), resources(8, 32)) };
    QuotaLedger quotas = QuotaLedger::create({ { TeamName::of("team"), resources(4, 400) } });
    QueuePlacement result = placeQueue({ { request("t", resources(5, 1)) } }, offers, quotas);
    BOOST_TEST((reasonOf(result.choices_[0]) == WaitReason::QuotaExceeded));
    BOOST_TEST(std::get<NotPlaced>(result.choices_[0]).detail_ == "milli-cores: 0 used + 5000 exceeds the quota of 4000");
}

BOOST_AUTO_TEST_CASE(chosen_offer_always_fits_and_the_same_seed_chooses_the_same)
{
    bool holds = rc::check("chosen offer fits", [] {
        std::vector<Offer> offers = anyOffers();
        PlacementRequest wanted = request("t", *anyResources(10, 40, 2));
        wanted.seed_ = *rc::gen::arbitrary<uint64_t>();
        wanted.closedDomains_.insert(FailureDomainName::of("d2"));
        PlacementChoice choice = choosePlacement(wanted, offers);
        RC_ASSERT(choice == choosePlacement(wanted, offers));
        auto suits = [&](const Offer& each) { return each.accepting_ && each.domain_.value() != "d2" && wanted.resources_.fitsIn(each.free_); };
        if (const auto* placed = std::get_if<Placed>(&choice)) {
            auto found = std::find_if(offers.begin(), offers.end(), [&](const Offer& each) { return each.worker_ == placed->site_.worker_; });
            RC_ASSERT(found != offers.end());
            RC_ASSERT(suits(*found));
        } else {
            RC_ASSERT(std::none_of(offers.begin(), offers.end(), suits));
            RC_ASSERT(!std::get<NotPlaced>(choice).detail_.empty());
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(queue_never_exceeds_an_offer_or_a_quota_and_keeps_gangs_whole)
{
    bool holds = rc::check("queue stays within offers and quotas", [] {
        std::vector<Offer> offers = anyOffers();
        std::vector<PlacementUnit> units;
        std::map<TaskId, PlacementRequest> requests;
        int count = *rc::gen::inRange(0, 10);
        for (int unit = 0; unit < count; ++unit) {
            units.push_back(anyUnit(unit));
            for (const PlacementRequest& each : units.back())
                requests.emplace(each.task_, each);
        }
        Resources quota = *anyResources(40, 160, 4);
        QueuePlacement result = placeQueue(units, offers, QuotaLedger::create({ { TeamName::of("team"), quota } }));
        RC_ASSERT(result.choices_.size() == requests.size());
        RC_ASSERT(result.quotas_.used(TeamName::of("team")).fitsIn(quota));
        std::map<WorkerName, Resources> taken;
        std::map<std::string, std::set<bool>> outcomesOfGang;
        for (const PlacementChoice& choice : result.choices_) {
            TaskId task = std::visit([](const auto& alternative) { return alternative.task_; }, choice);
            const auto* placed = std::get_if<Placed>(&choice);
            if (std::holds_alternative<Gang>(requests.at(task).constraint_))
                outcomesOfGang[task.value().substr(0, task.value().find('-'))].insert(placed != nullptr);
            if (!placed)
                continue;
            RC_ASSERT(!requests.at(task).closedDomains_.contains(placed->site_.domain_));
            taken[placed->site_.worker_] = taken[placed->site_.worker_] + placed->resources_;
        }
        for (const Offer& each : offers)
            RC_ASSERT(taken[each.worker_].fitsIn(each.free_));
        for (const auto& [gang, outcomes] : outcomesOfGang)
            RC_ASSERT(outcomes.size() == 1U);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
