#include "LeaseRows.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::scheduler {

using workflow::LeaderEpoch;
using workflow::Tuning;
using workflow::WorkerIncarnation;

static Instant at(int64_t milliseconds)
{
    return Instant::fromMicroseconds((1'000'000 + milliseconds) * 1000);
}

// The store's clock showed 50'000 ms between 90 ms and 100 ms.
static const StoreClock clock { 50'000, at(90), at(100) };
static const WorkerIncarnation worker { "w-1", 1733308107000, "host-4" };

BOOST_AUTO_TEST_SUITE(lease_rows)

BOOST_AUTO_TEST_CASE(rows_are_decoded_as_encoded)
{
    for (std::optional<int64_t> leaseEndMs : { std::optional<int64_t>(), std::optional<int64_t>(0), std::optional<int64_t>(58'450) }) {
        ChainEntry entry { LeaderEpoch(7), 12, leaseEndMs };
        BOOST_TEST((decodeChain(encodeChain(entry)).value() == entry));
    }
    SilentWorkers silent { { { worker, 51'000 }, { { "w-2", 5, "" }, 52'000 } } };
    BOOST_TEST((decodeSilentWorkers(encodeSilentWorkers(silent)).value() == silent));
}

BOOST_AUTO_TEST_CASE(errors_quote_the_unreadable_row)
{
    for (const char* text : { "", "7", "7:x", "7:12:x", "7:12:-1", "7:12:1:1" })
        BOOST_TEST(!decodeChain(text).ok(), text);
    BOOST_TEST(std::string(decodeChain("7:x").status().message()) == "unreadable chain row: got '7:x', expected epoch:transaction or epoch:transaction:milliseconds");
    for (const char* text : { "{}", "[7]", R"([["w-1",5,"host"]])", R"([["w-1","5","host",1]])" })
        BOOST_TEST(!decodeSilentWorkers(text).ok(), text);
}

// Guards against a bound that passes too early on the clock of the process that reads it.
BOOST_AUTO_TEST_CASE(conversion_between_the_clocks_is_never_early)
{
    for (int64_t milliseconds : { 95, 100, 250, 9000 }) {
        int64_t reading = latestReadingAt(clock, at(milliseconds)).value();
        BOOST_TEST(reading >= 50'000 + milliseconds - 90);
        BOOST_TEST((timeOfReading(clock, reading).value() >= at(milliseconds)));
    }
    BOOST_TEST(!latestReadingAt({}, at(0)).has_value());
    BOOST_TEST(!timeOfReading({}, 5).has_value());
}

BOOST_AUTO_TEST_CASE(bounds_of_the_predecessor_are_restored)
{
    std::string silentWorkers = encodeSilentWorkers({ { { worker, 51'000 } } });
    auto bounds = restoreLeaseBounds(Tuning(), "7:12:58000", silentWorkers, clock, at(80));
    BOOST_TEST((bounds.latest_ == at(8100)));
    BOOST_TEST((leaseEndOf(bounds, worker) == at(1100)));
    BOOST_TEST((leaseEndOf(bounds, { "w-2", 5, "" }) == at(8100)));
    // The predecessor could not write after the claim.
    bounds = restoreLeaseBounds(Tuning(), "7:12:99000", silentWorkers, clock, at(80));
    BOOST_TEST((bounds.latest_ == leaseBoundAfterWrite(Tuning(), at(80))));
}

// Guards against tasks that are started while they run, as a row of another version is taken for a bound.
BOOST_AUTO_TEST_CASE(rows_without_a_bound_give_the_longest_one)
{
    std::string silentWorkers = encodeSilentWorkers({ { { worker, 51'000 } } });
    Instant withoutBound = boundsWithoutRecord(Tuning(), Tuning().grantPeriodWithoutBound_, at(80)).latest_;
    for (const char* chain : { "7:12", "", "x" }) {
        auto bounds = restoreLeaseBounds(Tuning(), chain, silentWorkers, clock, at(80));
        BOOST_TEST((leaseEndOf(bounds, worker) == withoutBound), chain);
    }
    auto withoutClock = restoreLeaseBounds(Tuning(), "7:12:0", silentWorkers, clock, at(80));
    BOOST_TEST((leaseEndOf(withoutClock, worker) == leaseBoundAfterWrite(Tuning(), at(80))));
    auto withoutReading = restoreLeaseBounds(Tuning(), "7:12:58000", silentWorkers, {}, at(80));
    BOOST_TEST((leaseEndOf(withoutReading, worker) == leaseBoundAfterWrite(Tuning(), at(80))));
    auto unreadable = restoreLeaseBounds(Tuning(), "7:12:58000", "x", clock, at(80));
    BOOST_TEST((leaseEndOf(unreadable, worker) == at(8100)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
